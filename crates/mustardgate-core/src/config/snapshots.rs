//! When a node writes a snapshot, so that one always lies inside the log's retention.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::ids::Offset;

/// How often snapshots are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotPolicy {
    /// Time for which the log keeps a record.
    pub retention: Duration,
    /// Records after the newest snapshot below which its place in the log makes no other one due.
    pub min_records: u64,
    /// Records after the newest snapshot at which another one is due at the latest, which bounds a newcomer's search.
    pub max_records: u64,
    /// Time after writing a snapshot within which it is expected to be read back.
    pub read_back: Duration,
}

impl Default for SnapshotPolicy {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3600),
            min_records: 100_000,
            max_records: 500_000,
            read_back: Duration::from_secs(30),
        }
    }
}

/// Schedule of one node's snapshots, jittered so that mostly one node of many writes.
///
/// Half the retention is measured in time and in offsets, because after a burst one of the two alone comes too late. A
/// node that just started cannot know how old the newest snapshot is, and waits an eighth of the retention at most.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    policy: SnapshotPolicy,
    newest: Option<Offset>,
    due_at: Instant,
    hold_until: Option<Instant>,
    kept_share: f64,
}

impl SnapshotSchedule {
    /// Creates the schedule of a node that just started.
    pub fn new(policy: SnapshotPolicy, now: Instant, rng: &mut ChaCha8Rng) -> Self {
        Self {
            policy,
            newest: None,
            due_at: now + (policy.retention / 8).mul_f64(rng.random_range(0.5..1.0)),
            hold_until: None,
            kept_share: rng.random_range(0.25..0.5),
        }
    }

    /// Notes a snapshot that was read in the log.
    pub fn on_snapshot(&mut self, as_of: Offset, now: Instant, rng: &mut ChaCha8Rng) {
        if self.newest.is_some_and(|newest| as_of <= newest) {
            return;
        }
        self.newest = Some(as_of);
        self.due_at = now + (self.policy.retention / 2).mul_f64(rng.random_range(0.5..1.0));
        self.kept_share = rng.random_range(0.25..0.5);
        self.hold_until = None;
    }

    /// Notes that a feed brought the state up to an offset; its feeders write the snapshots, unless they fall silent.
    pub fn on_feed(&mut self, until: Offset, now: Instant, rng: &mut ChaCha8Rng) {
        self.newest = Some(until);
        self.due_at = self
            .due_at
            .max(now + (self.policy.retention / 8).mul_f64(rng.random_range(0.5..1.0)));
    }

    /// Notes that this node is writing a snapshot.
    pub fn on_write(&mut self, now: Instant) {
        self.hold_until = Some(now + self.policy.read_back);
    }

    /// Returns whether a snapshot is due, given the oldest offset kept and the end of the log.
    pub fn is_due(&self, earliest: Offset, end: Offset, now: Instant) -> bool {
        if self.hold_until.is_some_and(|time| now < time) {
            return false;
        }
        let newest = self.newest.unwrap_or(earliest);
        let kept = end.saturating_sub(earliest) as f64;
        let behind = end.saturating_sub(newest);
        let is_in_older_half = newest <= earliest + (kept * self.kept_share) as Offset;
        let is_far_back = behind as f64 >= self.policy.max_records as f64 * 2.0 * self.kept_share;
        now >= self.due_at || is_far_back || (is_in_older_half && behind >= self.policy.min_records)
    }
}
