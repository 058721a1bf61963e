//! The verdict on a request, derived from what may have been sent and what came back.

use std::collections::BTreeMap;

use crate::verdict::RunVerdict;

/// Keeps the verdict on each attempt of one request.
///
/// An attempt is `NotRun` until the first byte may have left, `MayHaveRun` from then on, and `Ran` once a whole answer
/// of it was received. Only the backend server's own word brings it back to `NotRun`.
#[derive(Clone, Debug, Default)]
pub struct AttemptTracker {
    attempts: BTreeMap<u32, RunVerdict>,
}

impl AttemptTracker {
    /// Notes, before the first write, that bytes of an attempt may leave from now on.
    pub fn sending(&mut self, attempt: u32) {
        let verdict = self.attempts.entry(attempt).or_insert(RunVerdict::NotRun);
        *verdict = verdict.combine(RunVerdict::MayHaveRun);
    }

    /// Notes that the backend server said itself that an attempt was not run; no effect on one that was answered.
    pub fn declined(&mut self, attempt: u32) {
        if let Some(verdict) = self.attempts.get_mut(&attempt)
            && *verdict == RunVerdict::MayHaveRun
        {
            *verdict = RunVerdict::NotRun;
        }
    }

    /// Notes that a whole answer of an attempt was received.
    pub fn answered(&mut self, attempt: u32) {
        self.attempts.insert(attempt, RunVerdict::Ran);
    }

    /// Returns the verdict on one attempt.
    pub fn attempt_verdict(&self, attempt: u32) -> RunVerdict {
        self.attempts.get(&attempt).copied().unwrap_or(RunVerdict::NotRun)
    }

    /// Returns the verdict on the request, over all attempts of this node. For a key see [`crate::idempotency`].
    pub fn verdict(&self) -> RunVerdict {
        let verdicts = self.attempts.values().copied();
        verdicts.fold(RunVerdict::NotRun, RunVerdict::combine)
    }

    /// Returns whether another attempt may be sent.
    pub fn permits_retry(&self, is_idempotent: bool) -> bool {
        self.verdict().permits_retry(is_idempotent)
    }
}
