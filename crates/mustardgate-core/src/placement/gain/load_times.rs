//! How long loads take, and which of them the weight store has no part in.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::BackendId, log::Artifact};

/// Times of loads. Without any a load counts as done at once, and every load draws on the weight store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadTimes {
    /// Loads from the weight store.
    pub from_store: BTreeMap<Artifact, Duration>,
    /// Loads from copies that a runner keeps itself, which the weight store has no part in.
    pub from_copy: BTreeMap<BackendId, BTreeMap<Artifact, Duration>>,
}

impl LoadTimes {
    /// Returns the time of a load from the runner's own copy, if it has one.
    pub(in crate::placement) fn copy_time(&self, backend: &BackendId, artifact: &Artifact) -> Option<Duration> {
        self.from_copy.get(backend)?.get(artifact).copied()
    }

    /// Returns the time that a load takes on a runner.
    pub(in crate::placement) fn load_time(&self, backend: &BackendId, artifact: &Artifact) -> Duration {
        let from_store = || self.from_store.get(artifact).copied().unwrap_or_default();
        self.copy_time(backend, artifact).unwrap_or_else(from_store)
    }
}
