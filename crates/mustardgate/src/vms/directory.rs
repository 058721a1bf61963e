//! The latest list of VMs, shared by all tasks of the node.

use std::{collections::BTreeMap, sync::RwLock};

use mustardgate_core::{
    ids::BackendId,
    ports::{VmEntry, VmState},
    routing::Availability,
};
use smol_str::SmolStr;

/// The latest list of VMs.
#[derive(Debug, Default)]
pub struct VmDirectory {
    entries: RwLock<Option<BTreeMap<SmolStr, VmEntry>>>,
}

impl VmDirectory {
    /// Replaces the list; returns whether it differs from the one before.
    pub fn replace(&self, entries: Vec<VmEntry>) -> bool {
        let entries: BTreeMap<SmolStr, VmEntry> =
            entries.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        let mut current = self.entries.write().expect("no holder panics");
        let is_new = current.as_ref() != Some(&entries);
        *current = Some(entries);
        is_new
    }

    /// Returns whether a backend server may get new work. Before the first list every declared one may, because a node
    /// that is cut off from the platform has to go on serving.
    pub fn availability(&self, backend: &BackendId) -> Availability {
        let entries = self.entries.read().expect("no holder panics");
        let Some(entries) = entries.as_ref().filter(|entries| !entries.is_empty()) else {
            return Availability::Serving;
        };
        match entries.get(backend).map(|entry| entry.state) {
            Some(VmState::Live) => Availability::Serving,
            Some(VmState::Leaving) | None => Availability::Leaving,
        }
    }
}
