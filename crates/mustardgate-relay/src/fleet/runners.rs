//! The runners known to this node, by service.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, RwLock},
    time::{Duration, Instant},
};

use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::{BackendId, DomainId, RunnerProcess, ServiceId},
    relay::{CatalogueChange, ListedRunner, RunnerCatalogue, RunnerObservation, RunnerState},
};
use slog::{Logger, o};

use super::{RunnerCell, retired::RetiredCells, spill::SpillTable};
use crate::{
    client::PoolSettings,
    context::AdmissionQueues,
    request_log::{list_names, shorten},
};

/// Time for which runners whose entries vanished around an outage of the list are kept after the outage; a live runner
/// renews its entry within that time.
const OUTAGE_GRACE: Duration = Duration::from_secs(2);

/// The runners that this node knows.
#[derive(Debug)]
pub struct RunnerFleet {
    pub(super) own_domain: DomainId,
    pub(super) keeps_domain: bool,
    pub(super) spill: SpillTable,
    pool: PoolSettings,
    logger: Logger,
    catalogue: Mutex<RunnerCatalogue>,
    cells: RwLock<BTreeMap<ServiceId, BTreeMap<BackendId, Arc<RunnerCell>>>>,
    retired: Mutex<RetiredCells>,
    /// Requests that wait for capacity at the runners.
    pub waiting: Arc<AdmissionQueues>,
}

impl RunnerFleet {
    /// Creates a fleet without runners, seen from a node in `own_domain`; `keeps_domain` says whether requests of paced
    /// services stay there until its runners are too few.
    pub fn new(own_domain: DomainId, pool: PoolSettings, keeps_domain: bool, logger: Logger) -> Self {
        Self {
            own_domain,
            keeps_domain,
            pool,
            spill: SpillTable::new(logger.clone()),
            logger,
            catalogue: Mutex::new(RunnerCatalogue::new(OUTAGE_GRACE)),
            cells: RwLock::default(),
            retired: Mutex::default(),
            waiting: Arc::default(),
        }
    }

    /// Adds or updates a runner from its newest entry.
    pub fn put(&self, runner: ListedRunner) {
        let change = self.lock().put_newest(runner);
        self.apply(change);
    }

    /// Applies the deletion of an entry.
    pub fn remove(&self, id: &BackendId) {
        let change = self.lock().remove(clock::now(), id);
        self.apply(change);
    }

    /// Stops using a runner whose entry cannot be used.
    pub fn refuse(&self, id: &BackendId) {
        let change = self.lock().refuse(id);
        self.apply(change);
    }

    /// Replaces all entries with the complete list.
    pub fn replace(&self, listed: Vec<ListedRunner>) {
        let changes = self.lock().replace(clock::now(), listed);
        self.apply(changes);
    }

    /// Applies the complete list after it was restored from an older copy.
    pub fn restore(&self, listed: Vec<ListedRunner>) {
        let changes = self.lock().restore(clock::now(), listed);
        self.apply(changes);
    }

    /// Applies what a runner itself reported; returns whether that changed its state.
    pub fn observe(&self, observation: &RunnerObservation) -> bool {
        let change = self.lock().observe(clock::now(), observation);
        let has_changed = change.is_some();
        self.apply(change);
        has_changed
    }

    /// Records that a runner stated in an answer that it stops.
    pub fn record_leaving(&self, runner: &ListedRunner) {
        let change = self.lock().record_leaving(&runner.id, runner.started_at_ms);
        self.apply(change);
    }

    /// Returns whether the grace period after the last recorded outage of the list is still running.
    pub fn has_recent_outage(&self, now: Instant) -> bool {
        self.lock().has_recent_outage(now)
    }

    /// Records that the list cannot be read, or could not be read until now; the grace period starts again.
    pub fn record_outage(&self) {
        self.lock().record_outage(clock::now());
    }

    /// Removes runners whose grace period after an outage is over, and closes expired idle connections.
    pub fn sweep(&self) {
        let changes = self.lock().expire(clock::now());
        self.apply(changes);
        for cell in self.all() {
            cell.pool.close_expired();
        }
        self.lock_retired().expire(clock::now());
    }

    /// Returns the cells of a service.
    pub fn of_service(&self, service: &ServiceId) -> Vec<Arc<RunnerCell>> {
        let cells = self.cells.read().expect("no holder of the lock panics");
        cells
            .get(service)
            .map(|cells| cells.values().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns every cell.
    pub fn all(&self) -> Vec<Arc<RunnerCell>> {
        let cells = self.cells.read().expect("no holder of the lock panics");
        cells.values().flat_map(BTreeMap::values).cloned().collect()
    }

    /// Returns a runner's cell.
    pub fn get(&self, id: &BackendId) -> Option<Arc<RunnerCell>> {
        let cells = self.cells.read().expect("no holder of the lock panics");
        cells.values().find_map(|cells| cells.get(id).cloned())
    }

    /// Returns whether any runner is known.
    pub fn has_runner(&self) -> bool {
        let cells = self.cells.read().expect("no holder of the lock panics");
        cells.values().any(|cells| !cells.is_empty())
    }

    fn apply(&self, changes: impl IntoIterator<Item = CatalogueChange>) {
        for change in changes {
            match change {
                CatalogueChange::Added(runner) => self.add(&runner),
                CatalogueChange::Updated(runner) => self.update(runner),
                CatalogueChange::Removed(id) => self.drop_cell(&id),
            }
        }
    }

    fn add(&self, runner: &Arc<ListedRunner>) {
        events::RELAY_RUNNER_ADDED.write(&self.logger, describe(runner));
        self.retire_cell(&runner.id);
        let cell = self.cell_of(runner);
        let mut cells = self.cells.write().expect("no holder of the lock panics");
        cells
            .entry(runner.service.clone())
            .or_default()
            .insert(runner.id.clone(), cell);
    }

    fn update(&self, runner: Arc<ListedRunner>) {
        let Some(cell) = self.get(&runner.id) else {
            return self.add(&runner);
        };
        let before = cell.listed();
        if before.address != runner.address || before.service != runner.service {
            return self.add(&runner);
        }
        if before.state != runner.state || before.models.keys().ne(runner.models.keys()) {
            events::RELAY_RUNNER_CHANGED.write(&self.logger, describe(&runner));
        }
        cell.update(runner);
    }

    fn drop_cell(&self, id: &BackendId) {
        let hold_left = self.get(id).and_then(|cell| cell.hold_left(clock::now()));
        let values = o!(
            "hold_left_ms" => hold_left.unwrap_or_default().as_millis() as u64,
            "backend" => id.to_string(),
        );
        events::RELAY_RUNNER_REMOVED.write(&self.logger, values);
        self.retire_cell(id);
    }

    /// Returns the cell of a runner that is listed anew: the former one if it is the same process at the same address.
    fn cell_of(&self, runner: &Arc<ListedRunner>) -> Arc<RunnerCell> {
        let process = (runner.id.clone(), runner.started_at_ms);
        let former = self.lock_retired().take(&process);
        if let Some(cell) = former.as_ref().filter(|cell| is_same_listener(&cell.listed(), runner)) {
            cell.restore(Arc::clone(runner));
            return Arc::clone(cell);
        }
        let cell = Arc::new(RunnerCell::new(
            Arc::clone(runner),
            self.pool,
            Arc::clone(&self.waiting),
        ));
        let now = clock::now();
        if let Some(left) = former.and_then(|former| former.hold_left(now)) {
            cell.hold(now + left);
        }
        cell
    }

    /// Removes a runner's cell; requests that hold it send to it no longer, unless its process is listed again.
    fn retire_cell(&self, id: &BackendId) {
        let mut cells = self.cells.write().expect("no holder of the lock panics");
        let retired: Vec<_> = cells.values_mut().filter_map(|known| known.remove(id)).collect();
        drop(cells);
        for cell in retired {
            cell.retire();
            cell.pool.close_all();
            self.lock_retired().insert(clock::now(), cell);
        }
    }

    /// Returns the processes that are listed or were until lately.
    pub fn processes(&self) -> BTreeSet<RunnerProcess> {
        let listed = self.all().into_iter().map(|cell| cell.process());
        let mut processes: BTreeSet<RunnerProcess> = listed.collect();
        processes.extend(self.lock_retired().processes().cloned());
        processes
    }

    fn lock_retired(&self) -> MutexGuard<'_, RetiredCells> {
        self.retired.lock().expect("no holder of the lock panics")
    }

    fn lock(&self) -> MutexGuard<'_, RunnerCatalogue> {
        self.catalogue.lock().expect("no holder of the lock panics")
    }
}

fn is_same_listener(former: &ListedRunner, runner: &ListedRunner) -> bool {
    (&former.service, former.address, &former.version) == (&runner.service, runner.address, &runner.version)
}

fn describe(runner: &ListedRunner) -> slog::OwnedKV<impl slog::SendSyncRefUnwindSafeKV + use<>> {
    o!(
        "copies" => list_names(runner.cached_models.iter()),
        "models" => list_names(runner.models.keys()),
        "is_draining" => runner.state == RunnerState::Draining,
        "address" => runner.address.to_string(),
        "service" => shorten(&runner.service),
        "version" => shorten(&runner.version.to_string()),
        "backend" => shorten(&runner.id),
    )
}
