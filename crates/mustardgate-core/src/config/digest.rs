//! Digest of the configuration, updated in constant time for each change.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::log::{RecentChange, SnapshotRecord, VersionedResource};

/// Sum of the hashes of all resources and recent changes, which does not depend on the order of additions.
///
/// It detects replicas that differ because of a software fault; it does not protect against a forged log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest(u64);

impl StateDigest {
    /// Computes the digest of the state that a snapshot describes.
    pub fn of_snapshot(snapshot: &SnapshotRecord) -> Self {
        let mut digest = Self::default();
        for resource in &snapshot.resources {
            digest.add_resource(resource);
        }
        for change in &snapshot.recent_changes {
            digest.add_change(change);
        }
        digest
    }

    /// Adds a resource to the state.
    pub fn add_resource(&mut self, resource: &VersionedResource) {
        self.0 = self.0.wrapping_add(hash_of("resource", resource));
    }

    /// Removes a resource that was added before.
    pub fn remove_resource(&mut self, resource: &VersionedResource) {
        self.0 = self.0.wrapping_sub(hash_of("resource", resource));
    }

    /// Adds a decided change to the state.
    pub fn add_change(&mut self, change: &RecentChange) {
        self.0 = self.0.wrapping_add(hash_of("change", change));
    }

    /// Removes a decided change whose identifier is no longer kept.
    pub fn remove_change(&mut self, change: &RecentChange) {
        self.0 = self.0.wrapping_sub(hash_of("change", change));
    }
}

fn hash_of<T: Serialize>(label: &str, value: &T) -> u64 {
    let bytes = serde_json::to_vec(&(label, value)).expect("map keys in resources and changes are strings");
    xxh3_64(&bytes)
}
