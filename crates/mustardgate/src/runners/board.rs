//! The latest report of each runner, with an index by artifact.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::RwLock,
    time::Instant,
};

use mustardgate_core::{ids::BackendId, log::Artifact, reports::RunnerState};

/// The latest report of each runner, shared by all tasks of the node.
#[derive(Debug, Default)]
pub struct RunnerBoard {
    state: RwLock<BoardState>,
}

#[derive(Debug, Default)]
struct BoardState {
    entries: BTreeMap<BackendId, BoardEntry>,
    ready: BTreeMap<Artifact, BTreeSet<BackendId>>,
}

/// One runner's state and when it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct BoardEntry {
    /// What the runner answers for, and its load.
    pub state: RunnerState,
    /// When it was received.
    pub received: Instant,
}

impl RunnerBoard {
    /// Replaces the state of a runner.
    pub fn update(&self, backend: &BackendId, runner: RunnerState, received: Instant) {
        let mut state = self.state.write().expect("no holder panics");
        state.unlink(backend);
        for artifact in &runner.ready {
            state.ready.entry(artifact.clone()).or_default().insert(backend.clone());
        }
        state.entries.insert(
            backend.clone(),
            BoardEntry {
                state: runner,
                received,
            },
        );
    }

    /// Forgets runners that are no longer declared.
    pub fn retain(&self, is_declared: impl Fn(&BackendId) -> bool) {
        let mut state = self.state.write().expect("no holder panics");
        let gone: Vec<BackendId> = state
            .entries
            .keys()
            .filter(|backend| !is_declared(backend))
            .cloned()
            .collect();
        for backend in gone {
            state.unlink(&backend);
            state.entries.remove(&backend);
        }
    }

    /// Returns the runners that answer for an artifact.
    pub fn ready(&self, artifact: &Artifact) -> Vec<BackendId> {
        let state = self.state.read().expect("no holder panics");
        state
            .ready
            .get(artifact)
            .map(|backends| backends.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the latest entry of a runner.
    pub fn entry(&self, backend: &BackendId) -> Option<BoardEntry> {
        self.state
            .read()
            .expect("no holder panics")
            .entries
            .get(backend)
            .cloned()
    }
}

impl BoardState {
    /// Takes a runner out of the index; the cost grows with what it holds, not with all that is declared.
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
