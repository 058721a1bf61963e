//! The rate limit of the log: appends beyond it are delayed, not refused.

use std::time::{Duration, Instant};

/// Delays appends so that they are at least one interval apart.
#[derive(Debug)]
pub struct AppendPacer {
    interval: Duration,
    next: Option<Instant>,
    delayed: u64,
}

impl AppendPacer {
    /// Creates a pacer that admits `appends_per_second`.
    pub fn new(appends_per_second: f64) -> Self {
        Self {
            interval: Duration::from_secs_f64(1.0 / appends_per_second.max(f64::MIN_POSITIVE)),
            next: None,
            delayed: 0,
        }
    }

    /// Reserves the next free slot and returns how long to wait for it.
    pub fn reserve(&mut self, now: Instant) -> Duration {
        let slot = self.next.map_or(now, |next| next.max(now));
        self.next = Some(slot + self.interval);
        let wait = slot - now;
        self.delayed += u64::from(!wait.is_zero());
        wait
    }

    /// Returns how many appends had to wait.
    pub fn delayed(&self) -> u64 {
        self.delayed
    }
}
