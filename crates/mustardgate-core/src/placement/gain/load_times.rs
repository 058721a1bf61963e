//! Duration of loads from the weight store and from the caches of the runners.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::BackendId, log::Artifact};

/// Expected duration of loads. A load without an entry counts as instant and as one from the weight store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadTimes {
    /// Loads from the weight store.
    pub from_store: BTreeMap<Artifact, Duration>,
    /// Loads of weights that a runner has cached itself, which do not use the weight store.
    pub from_cache: BTreeMap<BackendId, BTreeMap<Artifact, Duration>>,
}

impl LoadTimes {
    /// Returns the duration of a load from the runner's own cache, if it holds the weights.
    pub(in crate::placement) fn cached_load_time(&self, backend: &BackendId, artifact: &Artifact) -> Option<Duration> {
        self.from_cache.get(backend)?.get(artifact).copied()
    }

    /// Returns the duration of a load on a runner, from its own cache if it holds the weights.
    pub(in crate::placement) fn load_time(&self, backend: &BackendId, artifact: &Artifact) -> Duration {
        let from_store = || self.from_store.get(artifact).copied().unwrap_or_default();
        self.cached_load_time(backend, artifact).unwrap_or_else(from_store)
    }
}
