//! The latest report of each runner, with an index by artifact.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::RwLock,
    time::Instant,
};

use mustardgate_core::{ids::BackendId, log::Artifact, reports::RunnerState};

/// Table of the latest report of each runner, shared by all tasks of the node.
#[derive(Debug, Default)]
pub struct RunnerTable {
    state: RwLock<TableState>,
}

#[derive(Debug, Default)]
struct TableState {
    entries: BTreeMap<BackendId, RunnerEntry>,
    ready: BTreeMap<Artifact, BTreeSet<BackendId>>,
}

/// State of one runner and when it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerEntry {
    /// Weights that the runner serves, and its load.
    pub state: RunnerState,
    /// When the state was received.
    pub received: Instant,
}

impl RunnerTable {
    /// Replaces the state of a runner.
    pub fn update(&self, backend: &BackendId, runner: RunnerState, received: Instant) {
        let mut state = self.state.write().expect("no holder panics");
        state.unlink(backend);
        for artifact in &runner.ready {
            state.ready.entry(artifact.clone()).or_default().insert(backend.clone());
        }
        state.entries.insert(
            backend.clone(),
            RunnerEntry {
                state: runner,
                received,
            },
        );
    }

    /// Removes the runners that are no longer declared.
    pub fn retain(&self, is_declared: impl Fn(&BackendId) -> bool) {
        let mut state = self.state.write().expect("no holder panics");
        let undeclared: Vec<BackendId> = state
            .entries
            .keys()
            .filter(|backend| !is_declared(backend))
            .cloned()
            .collect();
        for backend in undeclared {
            state.unlink(&backend);
            state.entries.remove(&backend);
        }
    }

    /// Returns the runners that serve an artifact.
    pub fn ready(&self, artifact: &Artifact) -> Vec<BackendId> {
        let state = self.state.read().expect("no holder panics");
        state
            .ready
            .get(artifact)
            .map(|backends| backends.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the latest entry of a runner.
    pub fn entry(&self, backend: &BackendId) -> Option<RunnerEntry> {
        self.state
            .read()
            .expect("no holder panics")
            .entries
            .get(backend)
            .cloned()
    }
}

impl TableState {
    /// Removes a runner from the index; the cost grows with the artifacts that the runner serves, not with all declared
    /// artifacts.
    fn unlink(&mut self, backend: &BackendId) {
        let Some(entry) = self.entries.get(backend) else {
            return;
        };
        for artifact in &entry.state.ready {
            let Some(backends) = self.ready.get_mut(artifact) else {
                continue;
            };
            backends.remove(backend);
            if backends.is_empty() {
                self.ready.remove(artifact);
            }
        }
    }
}
