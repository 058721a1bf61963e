//! Limit on the bytes that a node sends to other nodes, so that changes for them do not fill its link.

use std::time::{Duration, Instant};

/// Settings of [`FeedAllowance`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FeedLimits {
    /// Bytes that may be sent per second.
    pub bytes_per_s: f64,
    /// Bytes that may be sent at once after a pause.
    pub burst_bytes: f64,
    /// Longest delay of an answer; one that would have to wait longer is refused.
    pub max_delay: Duration,
}

/// Token bucket over the bytes that a node sends to other nodes.
///
/// An answer is granted while the balance is positive, whatever its size, so that an answer larger than the burst is
/// sent too; the balance may become negative and then delays the answers that follow.
#[derive(Clone, Copy, Debug)]
pub struct FeedAllowance {
    limits: FeedLimits,
    balance: f64,
    updated_at: Option<Instant>,
}

impl FeedAllowance {
    /// Creates an allowance with a full burst.
    pub fn new(limits: FeedLimits) -> Self {
        Self {
            limits,
            balance: limits.burst_bytes,
            updated_at: None,
        }
    }

    /// Returns whether an answer could be sent within the longest delay; nothing is reserved.
    pub fn has_room(&self, now: Instant) -> bool {
        let mut allowance = *self;
        allowance.reserve(now, 0).is_some()
    }

    /// Reserves the bytes of one answer and returns the delay after which it may be sent, or `None` if the delay would
    /// exceed the limit; nothing is reserved then.
    pub fn reserve(&mut self, now: Instant, bytes: usize) -> Option<Duration> {
        self.refill(now);
        let delay = Duration::try_from_secs_f64((-self.balance / self.limits.bytes_per_s).max(0.0)).ok()?;
        if delay > self.limits.max_delay {
            return None;
        }
        self.balance -= bytes as f64;
        Some(delay)
    }
    /// Returns how many bytes may be sent now without a delay.
    pub fn room(&mut self, now: Instant) -> usize {
        self.refill(now);
        self.balance.max(0.0) as usize
    }

    /// Counts bytes that are sent in any case, which reduces the room for others.
    pub fn spend(&mut self, now: Instant, bytes: usize) {
        self.refill(now);
        self.balance = (self.balance - bytes as f64).max(-self.limits.bytes_per_s);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        self.balance = (self.balance + elapsed.as_secs_f64() * self.limits.bytes_per_s).min(self.limits.burst_bytes);
    }
}
