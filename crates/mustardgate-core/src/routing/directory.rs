//! Index of runners by name and by the weights they hold, in shards with a lock each.

use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
};

use xxhash_rust::xxh3::xxh3_64;

use super::runner::{RunnerCell, RunnerProfile};
use crate::{ids::BackendId, log::Artifact};

const SHARDS: usize = 16;

type ShardedMap<K, V> = [RwLock<BTreeMap<K, V>>; SHARDS];

/// Index of every known runner. Lookups in different shards do not wait for each other.
#[derive(Debug, Default)]
pub(super) struct RunnerDirectory {
    by_name: ShardedMap<BackendId, Arc<RunnerCell>>,
    by_artifact: ShardedMap<Artifact, Vec<Arc<RunnerCell>>>,
}

impl RunnerDirectory {
    pub(super) fn get(&self, backend: &BackendId) -> Option<Arc<RunnerCell>> {
        read(&self.by_name[shard_of(backend)]).get(backend).map(Arc::clone)
    }

    pub(super) fn holders(&self, artifact: &Artifact) -> Vec<Arc<RunnerCell>> {
        read(&self.by_artifact[shard_of(&artifact.model)])
            .get(artifact)
            .cloned()
            .unwrap_or_default()
    }

    /// Adds a runner or replaces its profile; an unchanged profile costs one comparison.
    pub(super) fn upsert(&self, profile: RunnerProfile) {
        let mut names = write(&self.by_name[shard_of(&profile.backend)]);
        let known = names.get(&profile.backend).map(Arc::clone);
        if known.as_ref().is_some_and(|cell| cell.profile == profile) {
            return;
        }
        let cell = Arc::new(match &known {
            Some(known) => known.with_profile(profile),
            None => RunnerCell::new(profile),
        });
        if let Some(known) = &known {
            self.unlink(known);
        }
        for artifact in &cell.profile.ready {
            self.link(artifact, &cell);
        }
        names.insert(cell.profile.backend.clone(), cell);
    }

    pub(super) fn remove(&self, backend: &BackendId) {
        let mut names = write(&self.by_name[shard_of(backend)]);
        if let Some(cell) = names.remove(backend) {
            self.unlink(&cell);
        }
    }

    fn link(&self, artifact: &Artifact, cell: &Arc<RunnerCell>) {
        let mut holders = write(&self.by_artifact[shard_of(&artifact.model)]);
        let cells = holders.entry(artifact.clone()).or_default();
        let position = cells.partition_point(|held| held.profile.backend < cell.profile.backend);
        cells.insert(position, Arc::clone(cell));
    }

    fn unlink(&self, cell: &RunnerCell) {
        for artifact in &cell.profile.ready {
            let mut holders = write(&self.by_artifact[shard_of(&artifact.model)]);
            let Some(cells) = holders.get_mut(artifact) else {
                continue;
            };
            cells.retain(|held| held.profile.backend != cell.profile.backend);
            if cells.is_empty() {
                holders.remove(artifact);
            }
        }
    }
}

fn shard_of(name: &str) -> usize {
    xxh3_64(name.as_bytes()) as usize % SHARDS
}

fn read<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}
