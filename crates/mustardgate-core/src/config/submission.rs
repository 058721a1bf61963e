//! Submission of one change of an operator, from the first append to its outcome.

use std::time::{Duration, Instant};

use super::replica::ConfigReplica;
use crate::{
    ids::{ChangeId, Offset},
    log::ChangeRecord,
    ports::{AppendError, ReadError},
};

const FIRST_RETRY_DELAY_MS: u64 = 250;
const MAX_RETRY_DELAY_MS: u64 = 4_000;

/// Outcome of a change as reported to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change took effect and the resource has this version.
    Accepted {
        /// Offset of the change.
        version: Offset,
    },
    /// The change did not and will not take effect, because the resource had another version.
    Conflict {
        /// Version of the resource now, or `None` when it does not exist.
        current: Option<Offset>,
    },
    /// The outcome is not known yet; the operator can ask again with the identifier.
    Unknown {
        /// Identifier of the change.
        change: ChangeId,
    },
    /// This submission appended nothing to the log; the change takes effect only if it is submitted again.
    NotApplied,
}

/// Next action for the caller of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmissionAction {
    /// Append this record and pass the result to [`ChangeSubmission::on_append`].
    Append(ChangeRecord),
    /// Read the end offset of the log and pass it to [`ChangeSubmission::on_end`].
    FindEnd,
    /// Poll again when the replica has advanced, a result was passed on, or the time is reached.
    Wait(Instant),
    /// Report the outcome to the operator.
    Finish(ChangeOutcome),
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Ready,
    Appending,
    ReadingBack { offset: Offset },
    FindingEnd,
    AwaitingEnd,
    LookingUp { end: Offset },
    Finished(ChangeOutcome),
}

/// State machine for the submission of one change.
///
/// A change counts as accepted only after the node's own replica has decided its record. When the answer to an append
/// is lost, the log is read up to an end offset that was requested after the loss. A record that arrives even later is
/// harmless, because replicas ignore a second record with the same identifier.
#[derive(Clone, Debug)]
pub struct ChangeSubmission {
    record: ChangeRecord,
    deadline: Instant,
    stage: Stage,
    retry_at: Option<Instant>,
    retry_delay: Duration,
    may_be_in_log: bool,
}

impl ChangeSubmission {
    /// Creates the submission of a change whose identifier was never submitted to any node before.
    pub fn new(record: ChangeRecord, deadline: Instant) -> Self {
        Self {
            record,
            deadline,
            stage: Stage::Ready,
            retry_at: None,
            retry_delay: Duration::from_millis(FIRST_RETRY_DELAY_MS),
            may_be_in_log: false,
        }
    }

    /// Creates the submission of a change that may have been submitted before, at this or another node.
    ///
    /// The log is read to its end before anything is appended, and [`ChangeOutcome::NotApplied`] is never reported,
    /// because an append of the earlier submission may still arrive.
    pub fn resume(record: ChangeRecord, deadline: Instant) -> Self {
        Self {
            stage: Stage::FindingEnd,
            may_be_in_log: true,
            ..Self::new(record, deadline)
        }
    }

    /// Returns the identifier of the change.
    pub fn change(&self) -> &ChangeId {
        &self.record.change
    }

    /// Returns the time by which an outcome is reported to the operator.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the next action.
    pub fn poll(&mut self, replica: &ConfigReplica, now: Instant) -> SubmissionAction {
        if let Stage::Finished(outcome) = &self.stage {
            return SubmissionAction::Finish(outcome.clone());
        }
        if let Some(outcome) = self.decided_outcome(replica) {
            return self.finish(outcome);
        }
        if now >= self.deadline {
            return self.finish_undecided();
        }
        if !replica.is_loaded() || self.retry_at.is_some_and(|time| now < time) {
            return SubmissionAction::Wait(self.retry_at.filter(|time| now < *time).unwrap_or(self.deadline));
        }
        self.advance(replica)
    }

    /// Handles the result of an append.
    pub fn on_append(&mut self, answer: Result<Offset, AppendError>, now: Instant) {
        if self.stage != Stage::Appending {
            return;
        }
        match answer {
            Ok(offset) => {
                self.may_be_in_log = true;
                self.stage = Stage::ReadingBack { offset };
            }
            Err(AppendError::NotAppended) => {
                self.stage = Stage::Ready;
                self.schedule_retry(now);
            }
            Err(AppendError::Unknown) => {
                self.may_be_in_log = true;
                self.stage = Stage::FindingEnd;
            }
        }
    }

    /// Handles the end offset of the log, read after [`SubmissionAction::FindEnd`] was returned.
    pub fn on_end(&mut self, answer: Result<Offset, ReadError>, now: Instant) {
        if self.stage != Stage::AwaitingEnd {
            return;
        }
        if let Ok(end) = answer {
            self.stage = Stage::LookingUp { end };
        } else {
            self.stage = Stage::FindingEnd;
            self.schedule_retry(now);
        }
    }

    fn advance(&mut self, replica: &ConfigReplica) -> SubmissionAction {
        match self.stage {
            Stage::LookingUp { end } if replica.next_offset() >= end => self.append(replica),
            Stage::Ready => self.append(replica),
            Stage::ReadingBack { offset } if replica.next_offset() > offset => self.finish_undecided(),
            Stage::FindingEnd => {
                self.stage = Stage::AwaitingEnd;
                SubmissionAction::FindEnd
            }
            _ => SubmissionAction::Wait(self.deadline),
        }
    }

    fn append(&mut self, replica: &ConfigReplica) -> SubmissionAction {
        let current = replica.view().version_of(&self.record.resource);
        if self.can_never_match(replica, current) {
            return self.finish(ChangeOutcome::Conflict { current });
        }
        self.stage = Stage::Appending;
        SubmissionAction::Append(self.record.clone())
    }

    /// Returns whether the expected version can never match any more: a version does not recur, but absence may.
    fn can_never_match(&self, replica: &ConfigReplica, current: Option<Offset>) -> bool {
        let was_replayed = self
            .record
            .expected
            .is_some_and(|expected| expected < replica.next_offset());
        was_replayed && current != self.record.expected
    }

    fn decided_outcome(&self, replica: &ConfigReplica) -> Option<ChangeOutcome> {
        if !replica.is_loaded() {
            return None;
        }
        let decided = replica.outcome_of(&self.record.change)?;
        if decided.accepted {
            return Some(ChangeOutcome::Accepted {
                version: decided.offset,
            });
        }
        let current = replica.view().version_of(&self.record.resource);
        Some(ChangeOutcome::Conflict { current })
    }

    fn finish_undecided(&mut self) -> SubmissionAction {
        if self.may_be_in_log || self.stage == Stage::Appending {
            let change = self.record.change.clone();
            return self.finish(ChangeOutcome::Unknown { change });
        }
        self.finish(ChangeOutcome::NotApplied)
    }

    fn finish(&mut self, outcome: ChangeOutcome) -> SubmissionAction {
        self.stage = Stage::Finished(outcome.clone());
        SubmissionAction::Finish(outcome)
    }

    fn schedule_retry(&mut self, now: Instant) {
        self.retry_at = Some(now + self.retry_delay);
        self.retry_delay = (self.retry_delay * 2).min(Duration::from_millis(MAX_RETRY_DELAY_MS));
    }
}
