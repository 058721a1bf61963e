//! Key table for several threads: keys are distributed over shards by hash, and each shard has its own lock.

use std::{
    hash::{Hash, Hasher},
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use xxhash_rust::xxh3::Xxh3;

use super::{
    action::{KeyAction, KeyId, KeyRequest},
    settings::KeySettings,
    table::{KeyCounters, KeyTable},
};
use crate::{
    ids::{NodeId, Offset, RequestId},
    log::{BatchRecord, KeyClaim, LogRecord, StoredAnswer},
    ports::LogEntry,
    verdict::RunVerdict,
};

/// Key tables, one per shard. Each key belongs to one shard, and the limits in the settings apply to each shard.
#[derive(Debug)]
pub struct ShardedKeyTable {
    shards: Vec<Mutex<KeyTable>>,
}

impl ShardedKeyTable {
    /// Creates `shard_count` empty shards, or one if the count is zero.
    pub fn new(node: &NodeId, settings: KeySettings, shard_count: usize) -> Self {
        let shards = (0..shard_count.max(1))
            .map(|_| Mutex::new(KeyTable::new(node.clone(), settings)))
            .collect();
        Self { shards }
    }

    /// Handles a keyed request; see [`KeyTable::request`].
    pub fn request(&self, request: &KeyRequest, now: Instant) -> Vec<KeyAction> {
        self.shard(&request.id).request(request, now)
    }

    /// Handles a claim that was definitely not appended; see [`KeyTable::claim_not_appended`].
    pub fn claim_not_appended(&self, claim: &KeyClaim) -> Vec<KeyAction> {
        self.shard(&KeyId::from(claim)).claim_not_appended(claim)
    }

    /// Records the outcome of a dispatched request; see [`KeyTable::finish`].
    pub fn finish(
        &self,
        id: &KeyId,
        request: &RequestId,
        verdict: RunVerdict,
        answer: Option<StoredAnswer>,
    ) -> Vec<KeyAction> {
        self.shard(id).finish(request, verdict, answer)
    }

    /// Releases the key of a dispatched request; see [`KeyTable::release`].
    pub fn release(&self, id: &KeyId, request: &RequestId) -> Vec<KeyAction> {
        self.shard(id).release(request)
    }

    /// Sets the offset at which the replay begins; see [`KeyTable::start`].
    pub fn start(&self, from: Offset, earliest: Offset, now: Instant) {
        for shard in &self.shards {
            lock(shard).start(from, earliest, now);
        }
    }

    /// Replays entries; see [`KeyTable::replay`]. Only one task may call this, in log order.
    pub fn replay(&self, entries: &[LogEntry], now: Instant) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        for entry in entries {
            for (index, part) in self.split_entry(entry).iter().enumerate() {
                actions.extend(lock(&self.shards[index]).replay(std::slice::from_ref(part), now));
            }
        }
        actions
    }

    /// Handles a gap in the log; see [`KeyTable::record_gap`].
    pub fn record_gap(&self, earliest: Offset, now: Instant) -> Vec<KeyAction> {
        self.for_each_shard(|shard| shard.record_gap(earliest, now))
    }

    /// Removes keys that the log no longer keeps; see [`KeyTable::forget_before`].
    pub fn forget_before(&self, earliest: Offset) {
        for shard in &self.shards {
            lock(shard).forget_before(earliest);
        }
    }

    /// Sets whether the log is unavailable; see [`KeyTable::set_log_unavailable`].
    pub fn set_log_unavailable(&self, is_log_unavailable: bool) -> Vec<KeyAction> {
        self.for_each_shard(|shard| shard.set_log_unavailable(is_log_unavailable))
    }

    /// Refuses the requests whose wait has timed out; see [`KeyTable::tick`].
    pub fn tick(&self, now: Instant) -> Vec<KeyAction> {
        self.for_each_shard(|shard| shard.tick(now))
    }

    /// Returns the offset from which the log is to be read next.
    pub fn next_offset(&self) -> Offset {
        let offsets = self.shards.iter().map(|shard| lock(shard).next_offset());
        offsets.min().unwrap_or_default()
    }

    /// Returns the counters summed over the shards; a gap counts once in each shard.
    pub fn counters(&self) -> KeyCounters {
        let mut sum = KeyCounters::default();
        for shard in &self.shards {
            let counters = lock(shard).counters();
            sum.dispatches += counters.dispatches;
            sum.lost_claims += counters.lost_claims;
            sum.ignored_outcomes += counters.ignored_outcomes;
            sum.gaps += counters.gaps;
            sum.violations += counters.violations;
        }
        sum
    }

    fn for_each_shard(&self, mut operation: impl FnMut(&mut KeyTable) -> Vec<KeyAction>) -> Vec<KeyAction> {
        let shards = self.shards.iter();
        shards.flat_map(|shard| operation(&mut lock(shard))).collect()
    }

    /// Returns one copy of the entry for each shard, with the claims and outcomes of that shard only.
    fn split_entry(&self, entry: &LogEntry) -> Vec<LogEntry> {
        let mut parts = vec![BatchRecord::default(); self.shards.len()];
        if let LogRecord::Batch(batch) = &entry.record {
            for claim in &batch.claims {
                parts[self.shard_index(&KeyId::from(claim))].claims.push(claim.clone());
            }
            for outcome in &batch.outcomes {
                parts[self.shard_index(&KeyId::from(outcome))]
                    .outcomes
                    .push(outcome.clone());
            }
        }
        let parts = parts.into_iter().map(|part| LogEntry {
            offset: entry.offset,
            record: LogRecord::Batch(part),
        });
        parts.collect()
    }

    fn shard_index(&self, id: &KeyId) -> usize {
        let mut hasher = Xxh3::new();
        id.hash(&mut hasher);
        (hasher.finish() % self.shards.len() as u64) as usize
    }

    fn shard(&self, id: &KeyId) -> MutexGuard<'_, KeyTable> {
        lock(&self.shards[self.shard_index(id)])
    }
}

fn lock(shard: &Mutex<KeyTable>) -> MutexGuard<'_, KeyTable> {
    shard.lock().expect("no holder of the lock panics")
}
