//! One change on its way from an operator to its outcome.

use std::time::{Duration, Instant};

use super::replica::ConfigReplica;
use crate::{
    ids::{ChangeId, Offset},
    log::ChangeRecord,
    ports::{AppendError, ReadError},
};

const FIRST_RETRY_DELAY_MS: u64 = 250;
const MAX_RETRY_DELAY_MS: u64 = 4_000;

/// What an operator is told about a change.
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
    /// Whether the change takes effect cannot be told yet; the operator asks again with the identifier.
    Unknown {
        /// Identifier to ask with.
        change: ChangeId,
    },
    /// Nothing of this submission is in the log; the change takes effect only if its identifier is submitted again.
    NotApplied,
}

/// What the caller of a submission does next.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmissionAction {
    /// Append this record and report the answer to [`ChangeSubmission::on_append`].
    Append(ChangeRecord),
    /// Ask the log for its end and report it to [`ChangeSubmission::on_end`].
    FindEnd,
    /// Poll again when the replica has moved, an answer came, or the time is reached.
    Wait(Instant),
    /// Tell the operator.
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

/// State machine of one change.
///
/// A change counts as accepted only after the node's own replica has decided its record. A lost answer is resolved by
/// reading the log up to an end that was asked for after the loss; a record that still arrives later is harmless,
/// because replicas ignore a second record with the same identifier.
#[derive(Clone, Debug)]
pub struct ChangeSubmission {
    record: ChangeRecord,
    deadline: Instant,
    stage: Stage,
    not_before: Option<Instant>,
    retry_delay: Duration,
    may_be_in_log: bool,
}

impl ChangeSubmission {
    /// Starts a change whose identifier was never handed to any node before.
    pub fn new(record: ChangeRecord, deadline: Instant) -> Self {
        Self {
            record,
            deadline,
            stage: Stage::Ready,
            not_before: None,
            retry_delay: Duration::from_millis(FIRST_RETRY_DELAY_MS),
            may_be_in_log: false,
        }
    }

    /// Starts a change that may have been submitted before, here or through another node.
    ///
    /// The log is read to its end before anything is appended, and [`ChangeOutcome::NotApplied`] is never told,
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

    /// Returns when the operator is told at the latest.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns what to do next.
    pub fn poll(&mut self, replica: &ConfigReplica, now: Instant) -> SubmissionAction {
        if let Stage::Finished(outcome) = &self.stage {
            return SubmissionAction::Finish(outcome.clone());
        }
        if let Some(outcome) = self.decided(replica) {
            return self.finish(outcome);
        }
        if now >= self.deadline {
            return self.give_up();
        }
        if !replica.is_loaded() || self.not_before.is_some_and(|time| now < time) {
            return SubmissionAction::Wait(self.not_before.filter(|time| now < *time).unwrap_or(self.deadline));
        }
        self.advance(replica)
    }

    /// Takes the answer to an append.
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
                self.delay(now);
            }
            Err(AppendError::Unknown) => {
                self.may_be_in_log = true;
                self.stage = Stage::FindingEnd;
            }
        }
    }

    /// Takes the end of the log, read after [`SubmissionAction::FindEnd`] was returned.
    pub fn on_end(&mut self, answer: Result<Offset, ReadError>, now: Instant) {
        if self.stage != Stage::AwaitingEnd {
            return;
        }
        if let Ok(end) = answer {
            self.stage = Stage::LookingUp { end };
        } else {
            self.stage = Stage::FindingEnd;
            self.delay(now);
        }
    }

    fn advance(&mut self, replica: &ConfigReplica) -> SubmissionAction {
        match self.stage {
            Stage::LookingUp { end } if replica.next_offset() >= end => self.append(replica),
            Stage::Ready => self.append(replica),
            Stage::ReadingBack { offset } if replica.next_offset() > offset => self.give_up(),
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

    /// Returns whether the expected version is in the past for good; absence may come back, a version never does.
    fn can_never_match(&self, replica: &ConfigReplica, current: Option<Offset>) -> bool {
        let is_past = self
            .record
            .expected
            .is_some_and(|expected| expected < replica.next_offset());
        is_past && current != self.record.expected
    }

    fn decided(&self, replica: &ConfigReplica) -> Option<ChangeOutcome> {
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

    fn give_up(&mut self) -> SubmissionAction {
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

    fn delay(&mut self, now: Instant) {
        self.not_before = Some(now + self.retry_delay);
        self.retry_delay = (self.retry_delay * 2).min(Duration::from_millis(MAX_RETRY_DELAY_MS));
    }
}
