//! Loads from the weight store within a sliding window.

use std::time::{Duration, Instant};

/// Bound on the loads that begin at the weight store within any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBound {
    /// Length of the window.
    pub window: Duration,
    /// Loads that may begin within it.
    pub most: u32,
}

/// Time for which an order without an answer may still be carried out.
const DOUBT_TIME: Duration = Duration::from_secs(13);

/// Loads that began, or may still begin, within the window.
///
/// A bucket that refills evenly would spread a shift of demand over seconds; the window lets all of a burst begin at once.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadWindow {
    /// Until when each load counts.
    counted_until: Vec<Instant>,
    closed_until: Option<Instant>,
}

impl LoadWindow {
    /// Closes the window, since another leader may have used it up a moment ago.
    pub(super) fn close(&mut self, now: Instant, bound: LoadBound) {
        self.closed_until = Some(now + bound.window);
    }

    /// Returns how many loads may begin now.
    pub(super) fn allowance(&mut self, now: Instant, bound: LoadBound) -> u32 {
        self.counted_until.retain(|until| now < *until);
        if self.closed_until.is_some_and(|until| now < until) {
            return 0;
        }
        bound.most.saturating_sub(self.counted_until.len() as u32)
    }

    /// Counts a load that begins now.
    pub(super) fn record(&mut self, now: Instant, bound: LoadBound) {
        self.counted_until.push(now + bound.window);
    }

    /// Counts a load whose order got no answer for as long as it may still begin.
    pub(super) fn record_doubtful(&mut self, now: Instant, bound: LoadBound) {
        self.counted_until.push(now + DOUBT_TIME + bound.window);
    }
}
