//! The key table as several threads share it: one shard by hash of the key, each under its own lock.

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

/// Key tables by hash of the key. Each holds only its own keys, so the limits in the settings are for each shard.
#[derive(Debug)]
pub struct ShardedKeyTable {
    shards: Vec<Mutex<KeyTable>>,
}

impl ShardedKeyTable {
    /// Creates `shard_count` empty shards, at least one.
    pub fn new(node: &NodeId, settings: KeySettings, shard_count: usize) -> Self {
        let shards = (0..shard_count.max(1))
            .map(|_| Mutex::new(KeyTable::new(node.clone(), settings)))
            .collect();
        Self { shards }
    }

    /// Takes in a keyed request; see [`KeyTable::request`].
    pub fn request(&self, request: &KeyRequest, now: Instant) -> Vec<KeyAction> {
        self.shard(&request.id).request(request, now)
    }

    /// Takes in that a claim certainly was not appended; see [`KeyTable::claim_not_appended`].
    pub fn claim_not_appended(&self, claim: &KeyClaim) -> Vec<KeyAction> {
        self.shard(&KeyId::from(claim)).claim_not_appended(claim)
    }

    /// Takes in the end of the attempts of a dispatched request; see [`KeyTable::finish`].
    pub fn finish(
        &self,
        id: &KeyId,
        request: &RequestId,
        verdict: RunVerdict,
        answer: Option<StoredAnswer>,
    ) -> Vec<KeyAction> {
        self.shard(id).finish(request, verdict, answer)
    }

    /// Gives a dispatched request up; see [`KeyTable::give_up`].
    pub fn give_up(&self, id: &KeyId, request: &RequestId) -> Vec<KeyAction> {
        self.shard(id).give_up(request)
    }

    /// Sets where the replay begins; see [`KeyTable::start`].
    pub fn start(&self, from: Offset, earliest: Offset, now: Instant) {
        for shard in &self.shards {
            lock(shard).start(from, earliest, now);
        }
    }

    /// Replays entries, which must come from one task and in log order; see [`KeyTable::replay`].
    pub fn replay(&self, entries: &[LogEntry], now: Instant) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        for entry in entries {
            for (index, part) in self.split_entry(entry).iter().enumerate() {
                actions.extend(lock(&self.shards[index]).replay(std::slice::from_ref(part), now));
            }
        }
        actions
    }

    /// Takes in a gap in the log; see [`KeyTable::record_gap`].
    pub fn record_gap(&self, earliest: Offset, now: Instant) -> Vec<KeyAction> {
        self.each(|shard| shard.record_gap(earliest, now))
    }

    /// Forgets keys that the log no longer keeps; see [`KeyTable::forget_before`].
    pub fn forget_before(&self, earliest: Offset) {
        for shard in &self.shards {
            lock(shard).forget_before(earliest);
        }
    }

    /// Takes in whether the log is away; see [`KeyTable::set_log_away`].
    pub fn set_log_away(&self, is_log_away: bool) -> Vec<KeyAction> {
        self.each(|shard| shard.set_log_away(is_log_away))
    }

    /// Refuses the requests that have waited long enough; see [`KeyTable::tick`].
    pub fn tick(&self, now: Instant) -> Vec<KeyAction> {
        self.each(|shard| shard.tick(now))
    }

    /// Returns the offset from which the log is to be read next.
    pub fn next_offset(&self) -> Offset {
        let offsets = self.shards.iter().map(|shard| lock(shard).next_offset());
        offsets.min().unwrap_or_default()
    }

    /// Returns the sums of what the shards counted; a gap counts once in each shard.
    pub fn counters(&self) -> KeyCounters {
        let mut sum = KeyCounters::default();
        for shard in &self.shards {
            let counters = lock(shard).counters();
            sum.dispatches += counters.dispatches;
            sum.lost_claims += counters.lost_claims;
            sum.stray_outcomes += counters.stray_outcomes;
            sum.gaps += counters.gaps;
            sum.violations += counters.violations;
        }
        sum
    }

    fn each(&self, mut step: impl FnMut(&mut KeyTable) -> Vec<KeyAction>) -> Vec<KeyAction> {
        let shards = self.shards.iter();
        shards.flat_map(|shard| step(&mut lock(shard))).collect()
    }

    /// Returns the entry once for each shard, with the claims and outcomes of that shard only.
    fn split_entry(&self, entry: &LogEntry) -> Vec<LogEntry> {
        let mut parts = vec![BatchRecord::default(); self.shards.len()];
        if let LogRecord::Batch(batch) = &entry.record {
            for claim in &batch.claims {
                parts[self.index_of(&KeyId::from(claim))].claims.push(claim.clone());
            }
            for outcome in &batch.outcomes {
                parts[self.index_of(&KeyId::from(outcome))]
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

    fn index_of(&self, id: &KeyId) -> usize {
        let mut hasher = Xxh3::new();
        id.hash(&mut hasher);
        (hasher.finish() % self.shards.len() as u64) as usize
    }

    fn shard(&self, id: &KeyId) -> MutexGuard<'_, KeyTable> {
        lock(&self.shards[self.index_of(id)])
    }
}

fn lock(shard: &Mutex<KeyTable>) -> MutexGuard<'_, KeyTable> {
    shard.lock().expect("no holder of the lock panics")
}
