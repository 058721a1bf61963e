//! Counts the requests for each artifact, from which the domain's leader estimates demand.

use std::{collections::BTreeMap, sync::Mutex};

use mustardgate_core::log::Artifact;

/// Shards of the counter; the requests for one artifact are always counted in the same one.
const SHARDS: usize = 8;

/// Requests for each artifact since the last collection.
#[derive(Debug, Default)]
pub struct DemandCounter {
    shards: [Mutex<BTreeMap<Artifact, u64>>; SHARDS],
}

impl DemandCounter {
    /// Counts one request.
    pub fn record(&self, artifact: &Artifact) {
        let shard = xxhash_rust::xxh3::xxh3_64(artifact.model.as_bytes()) as usize % SHARDS;
        let mut counts = self.shards[shard].lock().expect("no holder panics");
        *counts.entry(artifact.clone()).or_default() += 1;
    }

    /// Returns the counts and starts again from zero.
    pub fn collect(&self) -> BTreeMap<Artifact, f64> {
        let mut all = BTreeMap::new();
        for shard in &self.shards {
            let counts = std::mem::take(&mut *shard.lock().expect("no holder panics"));
            all.extend(counts.into_iter().map(|(artifact, count)| (artifact, count as f64)));
        }
        all
    }
}
