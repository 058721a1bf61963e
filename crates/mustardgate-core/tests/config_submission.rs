//! Tests the outcome reported to an operator for each fault during the submission of a change.

mod config_support;

use std::time::{Duration, Instant};

use mustardgate_core::{
    config::{ChangeOutcome, ChangeSubmission, ConfigReplica, SubmissionAction},
    ports::{AppendError, ReadError},
};

use crate::config_support::{change, entry, loaded_replica, span};

const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(30);

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
            submission: submission(now + SUBMISSION_TIMEOUT),
        }
    }

    fn new_change() -> Self {
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

    fn assert_outcome(&mut self, outcome: ChangeOutcome) {
        assert_eq!(self.poll(), SubmissionAction::Finish(outcome.clone()));
        assert_eq!(self.poll(), SubmissionAction::Finish(outcome), "an outcome is final");
    }
}

fn unknown() -> ChangeOutcome {
    ChangeOutcome::Unknown { change: "a".into() }
}

#[test]
fn change_is_accepted_only_when_read_back() {
    let mut fixture = Fixture::new_change();
    fixture.append(Ok(0));
    assert!(matches!(fixture.poll(), SubmissionAction::Wait(_)));
    fixture.replay(0, "a", None);
    fixture.assert_outcome(ChangeOutcome::Accepted { version: 0 });
}

#[test]
fn appended_change_that_follows_another_change_is_a_conflict() {
    let mut fixture = Fixture::new_change();
    fixture.append(Ok(1));
    fixture.replay(0, "b", None);
    fixture.replay(1, "a", None);
    fixture.assert_outcome(ChangeOutcome::Conflict { current: Some(0) });
}

#[test]
fn lost_answer_is_looked_up_before_the_next_append() {
    let mut fixture = Fixture::new_change();
    fixture.append(Err(AppendError::Unknown));
    assert_eq!(fixture.poll(), SubmissionAction::FindEnd);
    fixture.submission.on_end(Ok(2), fixture.now);
    fixture.replay(0, "b", None);
    assert!(
        matches!(fixture.poll(), SubmissionAction::Wait(_)),
        "offset 1 is not read yet"
    );
    fixture.replay(1, "a", None);
    fixture.assert_outcome(ChangeOutcome::Conflict { current: Some(0) });
}

#[test]
fn lost_record_is_appended_again() {
    let mut fixture = Fixture::new_change();
    fixture.append(Err(AppendError::Unknown));
    assert_eq!(fixture.poll(), SubmissionAction::FindEnd);
    fixture.submission.on_end(Ok(0), fixture.now);
    fixture.append(Ok(0));
    fixture.replay(0, "a", None);
    fixture.assert_outcome(ChangeOutcome::Accepted { version: 0 });
}

#[test]
fn outcome_after_a_lost_answer_is_unknown_while_the_log_is_unavailable() {
    let mut fixture = Fixture::new_change();
    fixture.append(Err(AppendError::Unknown));
    assert_eq!(fixture.poll(), SubmissionAction::FindEnd);
    fixture.submission.on_end(Err(ReadError::Unavailable), fixture.now);
    assert!(matches!(fixture.poll(), SubmissionAction::Wait(time) if time < fixture.now + SUBMISSION_TIMEOUT));
    fixture.now += SUBMISSION_TIMEOUT;
    fixture.assert_outcome(unknown());
}

#[test]
fn refused_append_after_a_lost_answer_is_not_reported_as_not_applied() {
    let mut fixture = Fixture::new_change();
    fixture.append(Err(AppendError::Unknown));
    assert_eq!(fixture.poll(), SubmissionAction::FindEnd);
    fixture.submission.on_end(Ok(0), fixture.now);
    fixture.append(Err(AppendError::NotAppended));
    fixture.now += SUBMISSION_TIMEOUT;
    fixture.assert_outcome(unknown());
}

#[test]
fn refused_appends_alone_are_reported_as_not_applied() {
    let mut fixture = Fixture::new_change();
    fixture.append(Err(AppendError::NotAppended));
    assert!(
        matches!(fixture.poll(), SubmissionAction::Wait(_)),
        "the next append is delayed"
    );
    fixture.now += SUBMISSION_TIMEOUT;
    fixture.assert_outcome(ChangeOutcome::NotApplied);
}

#[test]
fn outcome_is_unknown_when_the_deadline_passes_during_an_append() {
    let mut fixture = Fixture::new_change();
    assert!(matches!(fixture.poll(), SubmissionAction::Append(_)));
    fixture.now += SUBMISSION_TIMEOUT;
    fixture.assert_outcome(unknown());
    fixture.submission.on_append(Ok(0), fixture.now);
    fixture.assert_outcome(unknown());
}

#[test]
fn resumed_submission_reads_the_log_first_and_never_reports_not_applied() {
    let resume = |deadline| ChangeSubmission::resume(change("a", 0, None, Some(1)), deadline);
    let mut fixture = Fixture::new(resume);
    assert_eq!(fixture.poll(), SubmissionAction::FindEnd);
    fixture.now += SUBMISSION_TIMEOUT;
    fixture.assert_outcome(unknown());
}

#[test]
fn replaced_version_is_a_conflict_without_an_append() {
    let submission = |deadline| ChangeSubmission::new(change("a", 0, Some(0), Some(9)), deadline);
    let mut fixture = Fixture::new(submission);
    fixture.replay(0, "b", None);
    fixture.replay(1, "c", Some(0));
    fixture.assert_outcome(ChangeOutcome::Conflict { current: Some(1) });
}

#[test]
fn change_of_an_existing_resource_that_expects_absence_is_decided_by_the_log() {
    let mut fixture = Fixture::new_change();
    fixture.replay(0, "b", None);
    assert!(
        matches!(fixture.poll(), SubmissionAction::Append(_)),
        "the resource may be deleted before the record is appended"
    );
}

#[test]
fn no_change_is_appended_while_the_replica_is_not_loaded() {
    let mut fixture = Fixture::new_change();
    fixture.replica = ConfigReplica::new();
    assert!(matches!(fixture.poll(), SubmissionAction::Wait(_)));
    fixture.now += SUBMISSION_TIMEOUT;
    fixture.assert_outcome(ChangeOutcome::NotApplied);
}
