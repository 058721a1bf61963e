//! A budget that limits retries and hedges to a ratio of successes.

use std::time::Instant;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries that one success adds to the balance.
    pub retries_per_success: f64,
    /// Largest balance, in retries.
    pub max_balance: f64,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            retries_per_success: 0.1,
            max_balance: 20.0,
        }
    }
}

/// Balance of the retries and hedges that may still be made.
///
/// A success adds to the balance, and a retry or hedge takes one from it. During an outage, when nothing succeeds,
/// retries therefore end regardless of the number of callers.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    balance: f64,
}

/// A limit on retries, such as a budget.
pub trait RetryAllowance {
    /// Takes one retry from the allowance, or returns `false` when it must not be made.
    fn spend(&mut self, now: Instant) -> bool;
}

impl RetryAllowance for RetryBudget {
    fn spend(&mut self, _now: Instant) -> bool {
        self.try_spend()
    }
}

/// An allowance of one retry that was taken from a budget before.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrepaidRetry {
    is_used: bool,
}

impl RetryAllowance for PrepaidRetry {
    fn spend(&mut self, _now: Instant) -> bool {
        !std::mem::replace(&mut self.is_used, true)
    }
}

/// An allowance of no retries, for a request that must not be sent again.
#[derive(Clone, Copy, Debug)]
pub struct NoRetries;

impl RetryAllowance for NoRetries {
    fn spend(&mut self, _now: Instant) -> bool {
        false
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            balance: limits.max_balance,
        }
    }

    /// Adds to the balance for a request that was answered whole.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.limits.retries_per_success).min(self.limits.max_balance);
    }

    /// Takes one retry or hedge from the balance, or returns `false` when less than one is left.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the balance, in retries.
    pub fn balance(&self) -> f64 {
        self.balance
    }
}
