//! Counts the requests for each artifact, from which the domain's leader estimates demand.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

use mustardgate_core::log::Artifact;

/// Shards of the counter; the requests for one artifact are always counted in the same one.
const SHARDS: usize = 8;

/// Requests for each artifact: those since the last collection, and those that the leader was not told of.
#[derive(Debug, Default)]
pub struct DemandCounter {
    shards: [Mutex<DemandShard>; SHARDS],
}

#[derive(Debug, Default)]
struct DemandShard {
    counts: BTreeMap<Artifact, u64>,
    untold: BTreeMap<Artifact, u64>,
}

impl DemandCounter {
    /// Counts one request of a caller of this node.
    pub fn record(&self, artifact: &Artifact) {
        let mut shard = self.shard(artifact);
        *shard.counts.entry(artifact.clone()).or_default() += 1;
        *shard.untold.entry(artifact.clone()).or_default() += 1;
    }

    /// Adds requests that a neighbour counted.
    pub fn add(&self, counts: &[(Artifact, u64)]) {
        for (artifact, count) in counts {
            let mut shard = self.shard(artifact);
            let total = shard.counts.entry(artifact.clone()).or_default();
            *total = total.saturating_add(*count);
        }
    }

    /// Returns the counts and starts again from zero.
    pub fn collect(&self) -> BTreeMap<Artifact, f64> {
        let mut all = BTreeMap::new();
        for shard in &self.shards {
            let counts = std::mem::take(&mut shard.lock().expect("no holder panics").counts);
            all.extend(counts.into_iter().map(|(artifact, count)| (artifact, count as f64)));
        }
        all
    }

    /// Returns the requests of this node's callers that the leader was not told of, and counts them as told.
    pub fn take_untold(&self) -> Vec<(Artifact, u64)> {
        let shards = self.shards.iter();
        let untold = shards.flat_map(|shard| std::mem::take(&mut shard.lock().expect("no holder panics").untold));
        untold.collect()
    }

    fn shard(&self, artifact: &Artifact) -> MutexGuard<'_, DemandShard> {
        let index = xxhash_rust::xxh3::xxh3_64(artifact.model.as_bytes()) as usize % SHARDS;
        self.shards[index].lock().expect("no holder panics")
    }
}
