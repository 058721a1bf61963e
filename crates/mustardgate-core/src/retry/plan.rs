//! The attempts of one request: which may be sent, and what follows a failed or slow one.

use std::time::{Duration, Instant};

use super::{RetryAllowance, RetryBudget};
use crate::{ids::BackendId, verdict::RunVerdict};

const DEFAULT_RETRY_AFTER_MS: u64 = 500;

/// Settings of an [`AttemptPlan`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanSettings {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Deadline of the request; no retry or hedge follows whose first token or answer is expected after it.
    pub deadline: Instant,
    /// Maximum number of attempts, hedges included.
    pub max_attempts: u32,
}

/// An attempt that ended without a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// Runner that was tried.
    pub backend: BackendId,
    /// Time after which to retry, as stated by the runner.
    pub retry_after: Option<Duration>,
    /// Expected time from the dispatch to the first token at another runner.
    pub answer_time: Duration,
}

/// What to do after an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to a runner other than those excluded.
    RetryElsewhere {
        /// Runners that were tried.
        excluded: Vec<BackendId>,
    },
    /// Another attempt is still in flight; wait for it.
    AwaitOther,
    /// Answer the caller now.
    GiveUp {
        /// Verdict on the request, over all attempts.
        verdict: RunVerdict,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// The attempts of one request, and whether another may follow.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    settings: PlanSettings,
    tried: Vec<BackendId>,
    attempts: u32,
    in_flight: u32,
    verdict: RunVerdict,
}

impl AttemptPlan {
    /// Creates the plan of a request that has not been sent.
    pub fn new(settings: PlanSettings) -> Self {
        Self {
            settings,
            tried: Vec::new(),
            attempts: 0,
            in_flight: 0,
            verdict: RunVerdict::NotRun,
        }
    }

    /// Returns the verdict over all attempts; one that is still in flight counts as one that may have run.
    pub fn verdict(&self) -> RunVerdict {
        if self.in_flight > 0 {
            self.verdict.combine(RunVerdict::MayHaveRun)
        } else {
            self.verdict
        }
    }

    /// Returns the number of attempts that were begun and not withdrawn.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Records an attempt that is about to be sent, or returns `false` when it must not be sent.
    ///
    /// A non-idempotent request has at most one attempt in flight, and none after one that may have run.
    #[must_use]
    pub fn begin_attempt(&mut self, backend: &BackendId) -> bool {
        let permitted = self.verdict().permits_retry(self.settings.is_idempotent);
        if !permitted || self.attempts >= self.settings.max_attempts {
            return false;
        }
        self.attempts += 1;
        self.in_flight += 1;
        self.tried.push(backend.clone());
        true
    }

    /// Returns whether another attempt could follow if the one in flight were given up now, the budget aside.
    pub fn allows_another(&self, now: Instant, answer_time: Duration) -> bool {
        self.verdict().permits_retry(self.settings.is_idempotent) && self.may_retry(now, answer_time)
    }

    /// Withdraws an attempt that was begun but not sent: it counts neither as an attempt nor in the retry budget.
    pub fn withdraw_attempt(&mut self) -> NextStep {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.attempts = self.attempts.saturating_sub(1);
        NextStep::RetryElsewhere {
            excluded: self.tried.clone(),
        }
    }

    /// Decides what follows an attempt that failed.
    pub fn fail_attempt(
        &mut self,
        now: Instant,
        failure: &AttemptFailure,
        budget: &mut dyn RetryAllowance,
    ) -> NextStep {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.verdict = self.verdict.combine(failure.verdict);
        if self.in_flight > 0 {
            return NextStep::AwaitOther;
        }
        if self.may_retry(now, failure.answer_time) && budget.spend(now) {
            return NextStep::RetryElsewhere {
                excluded: self.tried.clone(),
            };
        }
        NextStep::GiveUp {
            verdict: self.verdict,
            retry_after: failure
                .retry_after
                .unwrap_or(Duration::from_millis(DEFAULT_RETRY_AFTER_MS)),
        }
    }

    /// Records a whole answer, and adds to the budget.
    pub fn succeed_attempt(&mut self, budget: &mut RetryBudget) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.verdict = RunVerdict::Ran;
        budget.record_success();
    }

    /// Decides whether to send a second attempt while a slow first one is in flight; uses the same budget as retries.
    pub fn hedge(&mut self, now: Instant, answer_time: Duration, budget: &mut RetryBudget) -> Option<NextStep> {
        let may_hedge = self.settings.is_idempotent && self.in_flight == 1 && self.may_retry(now, answer_time);
        if !may_hedge || !budget.try_spend() {
            return None;
        }
        Some(NextStep::RetryElsewhere {
            excluded: self.tried.clone(),
        })
    }

    fn may_retry(&self, now: Instant, answer_time: Duration) -> bool {
        self.verdict != RunVerdict::Ran
            && self.verdict.permits_retry(self.settings.is_idempotent)
            && self.attempts < self.settings.max_attempts
            && now + answer_time <= self.settings.deadline
    }
}
