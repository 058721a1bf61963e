//! Sets of runner processes.

use std::collections::{BTreeSet, VecDeque};

use crate::ids::{BackendId, RunnerProcess};

/// Largest number of processes in a set.
const MAX_PROCESSES: usize = 4_096;

/// A bounded set of runner processes, each identified by its runner and its start time; drops the processes that were
/// added first.
#[derive(Clone, Debug, Default)]
pub(super) struct ProcessSet {
    processes: BTreeSet<RunnerProcess>,
    order: VecDeque<RunnerProcess>,
}

impl ProcessSet {
    /// Adds a process.
    pub(super) fn insert(&mut self, id: &BackendId, started_at_ms: u64) {
        let process = (id.clone(), started_at_ms);
        if !self.processes.insert(process.clone()) {
            return;
        }
        self.order.push_back(process);
        if self.order.len() > MAX_PROCESSES
            && let Some(oldest) = self.order.pop_front()
        {
            self.processes.remove(&oldest);
        }
    }

    /// Returns whether a process is in the set.
    pub(super) fn contains(&self, id: &BackendId, started_at_ms: u64) -> bool {
        self.processes.contains(&(id.clone(), started_at_ms))
    }

    /// Removes a process.
    pub(super) fn remove_process(&mut self, id: &BackendId, started_at_ms: u64) {
        let process = (id.clone(), started_at_ms);
        if self.processes.remove(&process) {
            self.order.retain(|known| *known != process);
        }
    }

    /// Removes a runner's processes.
    pub(super) fn remove(&mut self, id: &BackendId) {
        let known = self.processes.range((id.clone(), 0)..=(id.clone(), u64::MAX));
        for process in known.cloned().collect::<Vec<_>>() {
            self.processes.remove(&process);
            self.order.retain(|known| *known != process);
        }
    }
}
