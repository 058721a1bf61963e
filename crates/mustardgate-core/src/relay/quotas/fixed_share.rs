//! The share of a quota that a node uses while it reaches no leader.

use std::time::{Duration, Instant};

/// Time for which an unused share is saved up. Many nodes may find demand at the same time, so what all of them have saved
/// must fit into what a window leaves beside the fixed shares.
const SAVED_TIME_S: f64 = 1.0;
/// Shortest and longest time after which a caller is told to come back.
const MIN_DELAY_S: f64 = 0.2;
const MAX_DELAY_S: f64 = 5.0;

/// A bucket that may be much smaller than one request.
///
/// What it holds is then the probability with which the request is admitted, and is used up either way, so that on
/// average as much is admitted as the share allows.
#[derive(Clone, Copy, Debug)]
pub(super) struct FixedShare {
    level: f64,
    filled_at: Instant,
}

impl FixedShare {
    /// Creates the bucket of a node that has lost its leader; it is empty, because what the leader granted may just have
    /// been used.
    pub(super) fn new(since: Instant) -> Self {
        Self {
            level: 0.0,
            filled_at: since,
        }
    }

    /// Uses the bucket for a request, or returns the time after which all nodes together have enough for one.
    /// `rate` is the rate of all nodes together, and `draw` a random number from 0 up to 1.
    pub(super) fn admit(&mut self, now: Instant, cost: f64, rate: f64, nodes: u32, draw: f64) -> Result<(), Duration> {
        let own_rate = rate / f64::from(nodes);
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed_s * own_rate).min(own_rate * SAVED_TIME_S);
        self.filled_at = self.filled_at.max(now);
        let probability = if cost > 0.0 { self.level / cost } else { 1.0 };
        self.level -= self.level.min(cost);
        if draw < probability {
            return Ok(());
        }
        Err(Duration::from_secs_f64((cost / rate).clamp(MIN_DELAY_S, MAX_DELAY_S)))
    }

    /// Gives back what a request was to use; the next fill drops what is more than can be saved.
    pub(super) fn give_back(&mut self, cost: f64) {
        self.level += cost;
    }
}
