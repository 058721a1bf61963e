//! The verdict on a request, derived from what may have been sent and what was received.

use std::collections::BTreeMap;

use crate::verdict::RunVerdict;

/// Keeps the verdict on each attempt of one request.
///
/// An attempt is `NotRun` until the first byte may have left, `MayHaveRun` from then on, and `Ran` once a whole answer
/// of it was received. It returns to `NotRun` only when the backend server itself states that it was not run.
#[derive(Clone, Debug, Default)]
pub struct AttemptTracker {
    attempts: BTreeMap<u32, RunVerdict>,
}

impl AttemptTracker {
    /// Records, before the first write, that bytes of an attempt may be sent from now on.
    pub fn record_sending(&mut self, attempt: u32) {
        let verdict = self.attempts.entry(attempt).or_insert(RunVerdict::NotRun);
        *verdict = verdict.combine(RunVerdict::MayHaveRun);
    }

    /// Records that the backend server itself stated that an attempt was not run; no effect on one that was answered.
    pub fn record_declined(&mut self, attempt: u32) {
        if let Some(verdict) = self.attempts.get_mut(&attempt)
            && *verdict == RunVerdict::MayHaveRun
        {
            *verdict = RunVerdict::NotRun;
        }
    }

    /// Records that a whole answer of an attempt was received.
    pub fn record_answered(&mut self, attempt: u32) {
        self.attempts.insert(attempt, RunVerdict::Ran);
    }

    /// Returns the verdict on one attempt.
    pub fn attempt_verdict(&self, attempt: u32) -> RunVerdict {
        self.attempts.get(&attempt).copied().unwrap_or(RunVerdict::NotRun)
    }

    /// Returns the verdict on the request, over all attempts of this node. For that on an idempotency key see
    /// [`crate::idempotency`].
    pub fn verdict(&self) -> RunVerdict {
        let verdicts = self.attempts.values().copied();
        verdicts.fold(RunVerdict::NotRun, RunVerdict::combine)
    }

    /// Returns whether another attempt may be sent.
    pub fn permits_retry(&self, is_idempotent: bool) -> bool {
        self.verdict().permits_retry(is_idempotent)
    }
}
