//! Runners whose entries have ended, kept for a while because the same process may be listed again.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use mustardgate_core::ids::RunnerProcess;

use super::RunnerCell;

/// Time for which a cell is kept, and longer while its runner wants no requests.
const RETENTION_TIME: Duration = Duration::from_secs(60);
/// Largest number of cells that are kept; those that were retired first are dropped.
const MAX_CELLS: usize = 1_024;

/// Cells of runner processes that are not listed any more.
///
/// An entry says only who can be reached; what a process asked for, and what it is working on, does not end with it.
#[derive(Debug, Default)]
pub(super) struct RetiredCells {
    cells: BTreeMap<RunnerProcess, (Instant, Arc<RunnerCell>)>,
}

impl RetiredCells {
    /// Keeps a cell that was retired now; one without a start time could not be told from a later process.
    pub(super) fn insert(&mut self, now: Instant, cell: Arc<RunnerCell>) {
        let process = cell.process();
        if process.1 == 0 {
            return;
        }
        self.cells.insert(process, (now, cell));
        if self.cells.len() > MAX_CELLS {
            let oldest = self.cells.iter().min_by_key(|(_, (at, _))| *at);
            let oldest = oldest.map(|(process, _)| process.clone());
            oldest.and_then(|process| self.cells.remove(&process));
        }
    }

    /// Takes the cell of a process that is listed again.
    pub(super) fn take(&mut self, process: &RunnerProcess) -> Option<Arc<RunnerCell>> {
        self.cells.remove(process).map(|(_, cell)| cell)
    }

    /// Returns the processes whose cells are kept.
    pub(super) fn processes(&self) -> impl Iterator<Item = &RunnerProcess> {
        self.cells.keys()
    }

    /// Drops the cells that were kept long enough, and closes connections that came back from requests since.
    pub(super) fn expire(&mut self, now: Instant) {
        for (_, cell) in self.cells.values() {
            cell.pool.close_all();
        }
        self.cells.retain(|_, (at, cell)| {
            now.saturating_duration_since(*at) < RETENTION_TIME || cell.hold_left(now).is_some()
        });
    }
}
