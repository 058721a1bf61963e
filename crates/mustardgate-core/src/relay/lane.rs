//! Requests that wait at a node until a runner has room for them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time over which admissions are counted.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Rate that a lane is given while it admitted nothing of late, in requests a second.
const LEAST_RATE: f64 = 2.0;

/// Requests of one model that wait at a node, and how fast they were admitted of late.
#[derive(Clone, Debug, Default)]
pub struct WaitingLane {
    waiting: u32,
    admitted: VecDeque<Instant>,
}

impl WaitingLane {
    /// Counts a request that begins to wait.
    pub fn join(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that waits no longer; `is_admitted` says that it was sent to a runner.
    pub fn leave(&mut self, now: Instant, is_admitted: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        if is_admitted {
            self.admitted.push_back(now);
        }
        self.forget(now);
    }

    /// Returns whether nobody waits and nothing was admitted of late.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.forget(now);
        self.waiting == 0 && self.admitted.is_empty()
    }

    /// Returns how long the requests that wait now will take to be admitted.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let recent = self.admitted.iter().filter(|at| is_recent(now, **at)).count();
        let rate = (recent as f64 / RATE_WINDOW.as_secs_f64()).max(LEAST_RATE);
        Duration::from_secs_f64(f64::from(self.waiting) / rate)
    }

    fn forget(&mut self, now: Instant) {
        while self.admitted.front().is_some_and(|at| !is_recent(now, *at)) {
            self.admitted.pop_front();
        }
    }
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < RATE_WINDOW
}
