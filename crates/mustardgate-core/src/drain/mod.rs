//! How much of a planned stop is left, and whether that is enough to pass a request on.
//!
//! A request that cannot be answered before the stop ends is refused while it is certain that it did not run; see
//! `docs/OPERATIONS.md`.

use std::time::{Duration, Instant};

/// Time kept at the end of a planned stop for sending answers to callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// Shortest time after which a refused caller may come back.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Timing of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTiming {
    /// Time during which connections are still accepted, for load balancers to react.
    pub grace: Duration,
    /// Time after the grace period within which requests are finished.
    pub limit: Duration,
}

/// The time span of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainWindow {
    begin: Instant,
    close: Instant,
    end: Instant,
}

impl DrainWindow {
    /// Begins a planned stop.
    pub fn new(now: Instant, timing: DrainTiming) -> Self {
        let close = now + timing.grace;
        Self {
            begin: now,
            close,
            end: close + timing.limit,
        }
    }

    /// Returns the time at which requests still in flight are ended.
    pub fn ends_at(&self) -> Instant {
        self.end
    }

    /// Ends the stop early.
    pub fn cut_short(&mut self, now: Instant) {
        self.close = self.close.min(now);
        self.end = self.end.min(now);
    }

    /// Returns the time from which on a request that needs `answer_time` is refused.
    pub fn refused_from(&self, answer_time: Duration) -> Instant {
        let needed = answer_time.saturating_add(ANSWER_MARGIN);
        self.end.checked_sub(needed).unwrap_or(self.begin)
    }

    /// Returns whether a request that needs `answer_time` may be passed on.
    pub fn admits(&self, now: Instant, answer_time: Duration) -> bool {
        now < self.refused_from(answer_time)
    }

    /// Returns the time after which a refused caller may come back, by when its load balancer no longer chooses this
    /// node.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.close.saturating_duration_since(now).max(RETRY_AFTER_MIN)
    }
}
