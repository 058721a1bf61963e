//! Schedule of snapshots, which ensures that the log always keeps one inside its retention.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::ids::Offset;

/// Limits that determine when a snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotPolicy {
    /// Time for which the log keeps a record.
    pub retention: Duration,
    /// Minimum number of records after the newest snapshot before its position in the log makes another one due.
    pub min_records: u64,
    /// Maximum number of records after the newest snapshot before another one is due, which bounds the search for a
    /// snapshot by a node that starts.
    pub max_records: u64,
    /// Time to wait for a written snapshot to be read back from the log before another one may be due.
    pub read_back_timeout: Duration,
}

impl Default for SnapshotPolicy {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3600),
            min_records: 100_000,
            max_records: 500_000,
            read_back_timeout: Duration::from_secs(30),
        }
    }
}

/// Schedule of one node's snapshots, with jitter so that usually only one of many nodes writes a snapshot.
///
/// A snapshot is due at the latest after half the retention, measured both in time and in offsets, because after a
/// burst of records either measure alone would be too late. A node that just started cannot know the age of the newest
/// snapshot, and waits at most an eighth of the retention.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    policy: SnapshotPolicy,
    newest: Option<Offset>,
    due_at: Instant,
    awaits_read_back_until: Option<Instant>,
    /// Random fraction: a snapshot is due when the newest one lies in this oldest fraction of the kept records, or is
    /// twice this fraction of `max_records` behind the end of the log.
    due_fraction: f64,
}

impl SnapshotSchedule {
    /// Creates the schedule of a node that just started.
    pub fn new(policy: SnapshotPolicy, now: Instant, rng: &mut ChaCha8Rng) -> Self {
        Self {
            policy,
            newest: None,
            due_at: now + (policy.retention / 8).mul_f64(rng.random_range(0.5..1.0)),
            awaits_read_back_until: None,
            due_fraction: rng.random_range(0.25..0.5),
        }
    }

    /// Updates the schedule after a snapshot was read from the log.
    pub fn on_snapshot(&mut self, as_of: Offset, now: Instant, rng: &mut ChaCha8Rng) {
        if self.newest.is_some_and(|newest| as_of <= newest) {
            return;
        }
        self.newest = Some(as_of);
        self.due_at = now + (self.policy.retention / 2).mul_f64(rng.random_range(0.5..1.0));
        self.due_fraction = rng.random_range(0.25..0.5);
        self.awaits_read_back_until = None;
    }

    /// Updates the schedule after a feed advanced the state to an offset; while the feed lasts, its feeders write the
    /// snapshots.
    pub fn on_feed(&mut self, until: Offset, now: Instant, rng: &mut ChaCha8Rng) {
        self.newest = Some(until);
        self.due_at = self
            .due_at
            .max(now + (self.policy.retention / 8).mul_f64(rng.random_range(0.5..1.0)));
    }

    /// Updates the schedule when this node writes a snapshot.
    pub fn on_write(&mut self, now: Instant) {
        self.awaits_read_back_until = Some(now + self.policy.read_back_timeout);
    }

    /// Returns whether a snapshot is due, given the oldest offset kept in the log and the end of the log.
    pub fn is_due(&self, earliest: Offset, end: Offset, now: Instant) -> bool {
        if self.awaits_read_back_until.is_some_and(|time| now < time) {
            return false;
        }
        let newest = self.newest.unwrap_or(earliest);
        let kept_records = end.saturating_sub(earliest) as f64;
        let lag = end.saturating_sub(newest);
        let is_in_oldest_part = newest <= earliest + (kept_records * self.due_fraction) as Offset;
        let exceeds_lag_limit = lag as f64 >= self.policy.max_records as f64 * 2.0 * self.due_fraction;
        now >= self.due_at || exceeds_lag_limit || (is_in_oldest_part && lag >= self.policy.min_records)
    }
}
