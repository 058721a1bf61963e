//! Duration of loads from the weight store and from copies on the runners.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::BackendId, log::Artifact};

/// Expected duration of loads. A load without an entry counts as instant and as one from the weight store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadTimes {
    /// Loads from the weight store.
    pub from_store: BTreeMap<Artifact, Duration>,
    /// Loads from copies that a runner keeps itself, which do not use the weight store.
    pub from_copy: BTreeMap<BackendId, BTreeMap<Artifact, Duration>>,
}

impl LoadTimes {
    /// Returns the duration of a load from the runner's own copy, if it has one.
    pub(in crate::placement) fn copy_load_time(&self, backend: &BackendId, artifact: &Artifact) -> Option<Duration> {
        self.from_copy.get(backend)?.get(artifact).copied()
    }

    /// Returns the duration of a load on a runner, from its own copy if it has one.
    pub(in crate::placement) fn load_time(&self, backend: &BackendId, artifact: &Artifact) -> Duration {
        let from_store = || self.from_store.get(artifact).copied().unwrap_or_default();
        self.copy_load_time(backend, artifact).unwrap_or_else(from_store)
    }
}
