//! Counts the requests for each artifact; the domain's leader estimates demand from these counts.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

use mustardgate_core::log::Artifact;

/// Number of shards of the counter; the requests for one model are always counted in the same shard.
const SHARD_COUNT: usize = 8;

/// Requests for each artifact: those since the last collection, and those not yet reported to the leader.
#[derive(Debug, Default)]
pub struct DemandCounter {
    shards: [Mutex<DemandShard>; SHARD_COUNT],
}

#[derive(Debug, Default)]
struct DemandShard {
    counts: BTreeMap<Artifact, u64>,
    unreported: BTreeMap<Artifact, u64>,
}

impl DemandCounter {
    /// Counts one request from a caller of this node.
    pub fn record(&self, artifact: &Artifact) {
        let mut shard = self.shard(artifact);
        *shard.counts.entry(artifact.clone()).or_default() += 1;
        *shard.unreported.entry(artifact.clone()).or_default() += 1;
    }

    /// Adds requests that another node of the failure domain counted.
    pub fn add(&self, counts: &[(Artifact, u64)]) {
        for (artifact, count) in counts {
            let mut shard = self.shard(artifact);
            let total = shard.counts.entry(artifact.clone()).or_default();
            *total = total.saturating_add(*count);
        }
    }

    /// Returns the counts and resets them to zero.
    pub fn collect(&self) -> BTreeMap<Artifact, f64> {
        let mut totals = BTreeMap::new();
        for shard in &self.shards {
            let counts = std::mem::take(&mut shard.lock().expect("no holder panics").counts);
            totals.extend(counts.into_iter().map(|(artifact, count)| (artifact, count as f64)));
        }
        totals
    }

    /// Returns the requests of this node's callers not yet reported to the leader, and marks them as reported.
    pub fn take_unreported(&self) -> Vec<(Artifact, u64)> {
        let shards = self.shards.iter();
        let unreported =
            shards.flat_map(|shard| std::mem::take(&mut shard.lock().expect("no holder panics").unreported));
        unreported.collect()
    }

    fn shard(&self, artifact: &Artifact) -> MutexGuard<'_, DemandShard> {
        let index = xxhash_rust::xxh3::xxh3_64(artifact.model.as_bytes()) as usize % SHARD_COUNT;
        self.shards[index].lock().expect("no holder panics")
    }
}
