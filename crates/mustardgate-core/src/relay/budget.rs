//! This node's share of a retry budget that all nodes draw on.

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
    /// Retries allowed in a window whatever the number of requests.
    pub floor: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Counts requests and retries of one service over a sliding window.
///
/// The budget holds for the sum over all nodes. A node that spends at most the ratio of its own requests keeps it
/// without knowing the others; `floor` stays small enough for the sum of the floors to fit the fixed part.
#[derive(Clone, Debug)]
pub struct RetryShare {
    settings: BudgetSettings,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryShare {
    /// Creates a share without any request.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Changes the retries allowed whatever the number of requests.
    pub fn set_floor(&mut self, floor: f64) {
        self.settings.floor = floor;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > self.settings.window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_old) {
            self.retries.pop_front();
        }
    }
}

impl RetryAllowance for RetryShare {
    fn spend(&mut self, now: Instant) -> bool {
        self.forget(now);
        let allowed = self.settings.ratio * self.requests.len() as f64 + self.settings.floor;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}
