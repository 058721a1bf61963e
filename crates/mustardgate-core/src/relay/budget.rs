//! This node's share of a retry budget that applies to all nodes together.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::retry::RetryAllowance;

/// Settings of [`RetryShare`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed for each request of this node within the window.
    pub ratio: f64,
    /// Retries allowed within the window regardless of the number of requests.
    pub floor: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Longest time between the decision on a retry and its arrival at a runner.
    pub arrival_spread: Duration,
}

/// What a share allows in the window that ends now, and what of it was spent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareUsage {
    /// Retries that were spent.
    pub spent: usize,
    /// Retries that may be spent in all, with the fraction that is left over.
    pub allowed: f64,
}

/// Limits the retries for one service by the requests counted over a sliding window.
///
/// The budget applies to the sum over all nodes. A node that spends at most the ratio of its own requests respects it
/// without knowing the other nodes; `floor` must be small enough that the floors of all nodes together fit the fixed
/// part of the budget.
#[derive(Clone, Debug)]
pub struct RetryShare {
    settings: BudgetSettings,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryShare {
    /// Creates a share that has counted no request.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets the retries allowed regardless of the number of requests.
    pub fn set_floor(&mut self, floor: f64) {
        self.settings.floor = floor;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Returns what is allowed and spent in the window that ends now.
    pub fn usage(&mut self, now: Instant) -> ShareUsage {
        self.drop_expired(now);
        ShareUsage {
            spent: self.retries.len(),
            allowed: self.settings.ratio * self.requests.len() as f64 + self.settings.floor,
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        let window = self.settings.window;
        drop_older(&mut self.requests, now, window);
        // Of two retries that arrive in one window, the first may have been decided on earlier by the spread.
        drop_older(&mut self.retries, now, window + self.settings.arrival_spread);
    }
}

impl RetryAllowance for RetryShare {
    fn spend(&mut self, now: Instant) -> bool {
        let usage = self.usage(now);
        if usage.spent as f64 + 1.0 > usage.allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn drop_older(times: &mut VecDeque<Instant>, now: Instant, age: Duration) {
    while times.front().is_some_and(|at| now.saturating_duration_since(*at) > age) {
        times.pop_front();
    }
}
