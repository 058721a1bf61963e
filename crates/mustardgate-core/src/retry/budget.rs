//! The budget that bounds retries and hedges to a share of successes.

use std::time::Instant;

/// Bounds of retries and hedges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries that one success pays for.
    pub success_ratio: f64,
    /// Retries that may be saved up.
    pub max_saved: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            success_ratio: 0.1,
            max_saved: 20.0,
        }
    }
}

/// Retries that may still be made.
///
/// Successes pay in and retries pay out, so that during an outage, when nothing succeeds, retries come to an end
/// whatever the number of callers.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    saved: f64,
}

/// Something that pays for retries.
pub trait RetryAllowance {
    /// Pays for one retry, or returns `false` when it must not be made.
    fn spend(&mut self, now: Instant) -> bool;
}

impl RetryAllowance for RetryBudget {
    fn spend(&mut self, _now: Instant) -> bool {
        self.try_spend()
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            saved: limits.max_saved,
        }
    }

    /// Pays in for a request that was answered whole.
    pub fn record_success(&mut self) {
        self.saved = (self.saved + self.limits.success_ratio).min(self.limits.max_saved);
    }

    /// Pays for one retry or hedge, or returns `false` when the budget does not allow it.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns how many retries are saved up.
    pub fn saved(&self) -> f64 {
        self.saved
    }
}
