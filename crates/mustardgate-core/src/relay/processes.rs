//! Sets of runner processes.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::BackendId;

/// Largest number of processes in a set.
const MAX_PROCESSES: usize = 4_096;

/// A bounded set of runner processes, each identified by its runner and its start time; holds the newest process of
/// each runner and drops the runners that were added first.
#[derive(Clone, Debug, Default)]
pub(super) struct ProcessSet {
    started_at_ms: BTreeMap<BackendId, u64>,
    order: VecDeque<BackendId>,
}

impl ProcessSet {
    /// Adds a process unless a later one of the same runner is in the set.
    pub(super) fn insert(&mut self, id: &BackendId, started_at_ms: u64) {
        if let Some(known) = self.started_at_ms.get_mut(id) {
            *known = started_at_ms.max(*known);
            return;
        }
        self.started_at_ms.insert(id.clone(), started_at_ms);
        self.order.push_back(id.clone());
        if self.order.len() > MAX_PROCESSES
            && let Some(oldest) = self.order.pop_front()
        {
            self.started_at_ms.remove(&oldest);
        }
    }

    /// Returns whether a process is in the set.
    pub(super) fn contains(&self, id: &BackendId, started_at_ms: u64) -> bool {
        self.started_at_ms.get(id) == Some(&started_at_ms)
    }

    /// Removes a runner's process.
    pub(super) fn remove(&mut self, id: &BackendId) {
        if self.started_at_ms.remove(id).is_some() {
            self.order.retain(|known| known != id);
        }
    }
}
