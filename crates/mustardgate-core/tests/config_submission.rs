//! What an operator is told about a change, fault by fault.

mod config_support;

use std::time::{Duration, Instant};

use mustardgate_core::{
    config::{ChangeOutcome, ChangeSubmission, ConfigReplica, SubmissionAction},
    ports::{AppendError, ReadError},
};

use crate::config_support::{change, entry, loaded_replica, span};

const PATIENCE: Duration = Duration::from_secs(30);

struct Fixture {
    now: Instant,
    replica: ConfigReplica,
    submission: ChangeSubmission,
}

impl Fixture {
    fn new(submission: impl FnOnce(Instant) -> ChangeSubmission) -> Self {
        let now = Instant::now();
        Self {
            now,
            replica: loaded_replica(&[]),
            submission: submission(now + PATIENCE),
        }
    }

    fn fresh() -> Self {
        Self::new(|deadline| ChangeSubmission::new(change("a", 0, None, Some(1)), deadline))
    }

    fn poll(&mut self) -> SubmissionAction {
        self.submission.poll(&self.replica, self.now)
    }

    fn append(&mut self, answer: Result<u64, AppendError>) {
        assert!(matches!(self.poll(), SubmissionAction::Append(_)));
        self.submission.on_append(answer, self.now);
    }

    fn replay(&mut self, offset: u64, id: &str, expected: Option<u64>) {
        let record = change(id, 0, expected, Some(offset + 1));
        self.replica.apply(&span(&[entry(offset, record)])).expect("no gap");
    }

    fn expect(&mut self, outcome: ChangeOutcome) {
        assert_eq!(self.poll(), SubmissionAction::Finish(outcome.clone()));
        assert_eq!(self.poll(), SubmissionAction::Finish(outcome), "an outcome is final");
    }
}

fn unknown() -> ChangeOutcome {
    ChangeOutcome::Unknown { change: "a".into() }
}

#[test]
fn change_is_accepted_only_when_read_back() {
    let mut fixture = Fixture::fresh();
    fixture.append(Ok(0));
    assert!(matches!(fixture.poll(), SubmissionAction::Wait(_)));
    fixture.replay(0, "a", None);
    fixture.expect(ChangeOutcome::Accepted { version: 0 });
}

#[test]
fn appended_change_that_lost_the_race_is_a_conflict() {
    let mut fixture = Fixture::fresh();
    fixture.append(Ok(1));
    fixture.replay(0, "b", None);
    fixture.replay(1, "a", None);
    fixture.expect(ChangeOutcome::Conflict { current: Some(0) });
}

#[test]
fn lost_answer_is_looked_up_before_the_next_append() {
    let mut fixture = Fixture::fresh();
    fixture.append(Err(AppendError::Unknown));
    assert_eq!(fixture.poll(), SubmissionAction::FindEnd);
    fixture.submission.on_end(Ok(2), fixture.now);
    fixture.replay(0, "b", None);
    assert!(
        matches!(fixture.poll(), SubmissionAction::Wait(_)),
        "offset 1 is not read yet"
    );
    fixture.replay(1, "a", None);
    fixture.expect(ChangeOutcome::Conflict { current: Some(0) });
}

#[test]
fn lost_record_is_appended_again() {
    let mut fixture = Fixture::fresh();
    fixture.append(Err(AppendError::Unknown));
    assert_eq!(fixture.poll(), SubmissionAction::FindEnd);
    fixture.submission.on_end(Ok(0), fixture.now);
    fixture.append(Ok(0));
    fixture.replay(0, "a", None);
    fixture.expect(ChangeOutcome::Accepted { version: 0 });
}

#[test]
fn lost_answer_stays_unknown_while_the_log_is_away() {
    let mut fixture = Fixture::fresh();
    fixture.append(Err(AppendError::Unknown));
    assert_eq!(fixture.poll(), SubmissionAction::FindEnd);
    fixture.submission.on_end(Err(ReadError::Unavailable), fixture.now);
    assert!(matches!(fixture.poll(), SubmissionAction::Wait(time) if time < fixture.now + PATIENCE));
    fixture.now += PATIENCE;
    fixture.expect(unknown());
}

#[test]
fn refusal_after_a_lost_answer_is_never_called_not_applied() {
    let mut fixture = Fixture::fresh();
    fixture.append(Err(AppendError::Unknown));
    assert_eq!(fixture.poll(), SubmissionAction::FindEnd);
    fixture.submission.on_end(Ok(0), fixture.now);
    fixture.append(Err(AppendError::NotAppended));
    fixture.now += PATIENCE;
    fixture.expect(unknown());
}

#[test]
fn refused_appends_alone_end_as_not_applied() {
    let mut fixture = Fixture::fresh();
    fixture.append(Err(AppendError::NotAppended));
    assert!(
        matches!(fixture.poll(), SubmissionAction::Wait(_)),
        "the next append is delayed"
    );
    fixture.now += PATIENCE;
    fixture.expect(ChangeOutcome::NotApplied);
}

#[test]
fn deadline_with_an_append_under_way_is_unknown() {
    let mut fixture = Fixture::fresh();
    assert!(matches!(fixture.poll(), SubmissionAction::Append(_)));
    fixture.now += PATIENCE;
    fixture.expect(unknown());
    fixture.submission.on_append(Ok(0), fixture.now);
    fixture.expect(unknown());
}

#[test]
fn repeated_submission_reads_the_log_first_and_never_says_not_applied() {
    let resume = |deadline| ChangeSubmission::resume(change("a", 0, None, Some(1)), deadline);
    let mut fixture = Fixture::new(resume);
    assert_eq!(fixture.poll(), SubmissionAction::FindEnd);
    fixture.now += PATIENCE;
    fixture.expect(unknown());
}

#[test]
fn passed_version_is_a_conflict_without_an_append() {
    let submission = |deadline| ChangeSubmission::new(change("a", 0, Some(0), Some(9)), deadline);
    let mut fixture = Fixture::new(submission);
    fixture.replay(0, "b", None);
    fixture.replay(1, "c", Some(0));
    fixture.expect(ChangeOutcome::Conflict { current: Some(1) });
}

#[test]
fn occupied_name_is_decided_by_the_log() {
    let mut fixture = Fixture::fresh();
    fixture.replay(0, "b", None);
    assert!(
        matches!(fixture.poll(), SubmissionAction::Append(_)),
        "the resource may be deleted before the record lands"
    );
}

#[test]
fn replica_that_is_not_loaded_decides_nothing() {
    let mut fixture = Fixture::fresh();
    fixture.replica = ConfigReplica::new();
    assert!(matches!(fixture.poll(), SubmissionAction::Wait(_)));
    fixture.now += PATIENCE;
    fixture.expect(ChangeOutcome::NotApplied);
}
