//! One runner, with its connections and what this node has observed of it.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ids::RunnerProcess,
    relay::{
        BacklogEstimate, HealthSettings, ListedRunner, LoadEstimate, ModelName, OutcomeTracker, PrefixIndex,
        ProcessEvidence, RelayRequest, ReportedLoad, RunnerState, VersionTag,
    },
};
use tokio::sync::Mutex as AsyncMutex;

use super::SharedCellLoad;
use crate::{
    client::{ConnectionPool, PoolSettings, RunnerConnection},
    context::AdmissionQueues,
};

/// Time for which a runner's statement that it lacks a model or adapter overrides its entry, which may be older.
const ABSENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of the connection that tells a crashed runner from a broken connection.
const PROCESS_CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which the result of such a check is used again, for the other requests that the same event broke off.
const PROCESS_CHECK_VALIDITY: Duration = Duration::from_millis(20);

/// One runner with its idle connections and its observed state, which has its own lock.
#[derive(Debug)]
pub struct RunnerCell {
    listed: RwLock<Arc<ListedRunner>>,
    /// Service and software version, which a process keeps.
    version_tag: VersionTag,
    /// Whether the runner is gone from the list, or was replaced there by another process.
    is_retired: AtomicBool,
    /// Whether a node answered at the address, and said that no runner does.
    is_at_node: AtomicBool,
    /// Idle connections.
    pub pool: Arc<ConnectionPool>,
    /// When it was last checked whether the process is gone, and the result; the lock is held during a check.
    process_check: AsyncMutex<Option<(Instant, bool)>>,
    /// When other nodes were last asked whether they reach the runner, and which one does; the lock is held meanwhile.
    pub last_witness: AsyncMutex<Option<(Instant, Option<SocketAddr>)>>,
    /// Requests that wait for capacity, which are woken when this runner may have some.
    waiting: Arc<AdmissionQueues>,
    /// Load by the newest statement that any node has seen.
    pub shared_load: SharedCellLoad,
    state: Mutex<CellState>,
}

#[derive(Debug)]
struct CellState {
    load: LoadEstimate,
    /// Requests of this node that it has.
    in_flight: u32,
    backlog: BacklogEstimate,
    outcomes: OutcomeTracker,
    prefixes: PrefixIndex,
    /// Adapters loaded by an order that the entry may not show yet.
    loaded_adapters: BTreeSet<ModelName>,
    /// Models and adapters that the runner stated it lacks, and when.
    absent: HashMap<ModelName, Instant>,
    /// Until when the runner wants no request of this node.
    held_until: Option<Instant>,
    /// When the listed process was last confirmed to answer at the address.
    confirmed_at: Option<Instant>,
}

/// How an attempt at a runner ended, for the runner's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The runner answered properly.
    Answered,
    /// The runner failed the request or did not finish its answer.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// The attempt says nothing about the runner's health: the caller left, the connection had already closed, or the
    /// runner refused the request, for example because it was at capacity.
    Neutral,
}

impl RunnerCell {
    /// Creates the cell of a newly listed runner.
    pub fn new(listed: Arc<ListedRunner>, pool: PoolSettings, waiting: Arc<AdmissionQueues>) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new(pool, listed.address)),
            version_tag: listed.version_tag(),
            shared_load: SharedCellLoad::new(&(listed.id.clone(), listed.started_at_ms)),
            listed: RwLock::new(listed),
            is_retired: AtomicBool::new(false),
            is_at_node: AtomicBool::new(false),
            process_check: AsyncMutex::new(None),
            last_witness: AsyncMutex::new(None),
            waiting,
            state: Mutex::new(CellState {
                load: LoadEstimate::default(),
                in_flight: 0,
                backlog: BacklogEstimate::default(),
                outcomes: OutcomeTracker::new(HealthSettings::default()),
                prefixes: PrefixIndex::default(),
                loaded_adapters: BTreeSet::new(),
                absent: HashMap::new(),
                held_until: None,
                confirmed_at: None,
            }),
        }
    }

    /// Returns the short form of the runner's service and software version.
    pub fn version_tag(&self) -> VersionTag {
        self.version_tag
    }

    /// Returns the runner's entry.
    pub fn listed(&self) -> Arc<ListedRunner> {
        Arc::clone(&self.listed.read().expect("no holder of the lock panics"))
    }

    /// Replaces the entry with a newer one of the same runner process.
    pub fn update(&self, listed: Arc<ListedRunner>) {
        *self.listed.write().expect("no holder of the lock panics") = listed;
    }

    /// Returns the runner process.
    pub fn process(&self) -> RunnerProcess {
        let listed = self.listed();
        (listed.id.clone(), listed.started_at_ms)
    }

    /// Sends to the runner again, because its process is listed again.
    pub fn restore(&self, listed: Arc<ListedRunner>) {
        self.update(listed);
        self.is_retired.store(false, Ordering::Relaxed);
    }

    /// Stops sending to the runner, because it is gone from the list or was replaced there.
    pub fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
    }

    /// Records that a node answered at the address, which is not asked whether the link to runners is sound any more.
    pub fn record_node(&self) {
        self.is_at_node.store(true, Ordering::Relaxed);
    }

    /// Returns whether a node answered at the address.
    pub fn is_at_node(&self) -> bool {
        self.is_at_node.load(Ordering::Relaxed)
    }

    /// Returns whether requests may be sent to the runner now.
    pub fn accepts_requests(&self) -> bool {
        self.is_in_service() && self.hold_left(clock::now()).is_none()
    }

    /// Returns whether the runner is listed and ready.
    pub fn is_in_service(&self) -> bool {
        !self.is_retired.load(Ordering::Relaxed) && self.listed().state == RunnerState::Ready
    }

    /// Returns whether nothing listens at the runner's address any more, as right after a crash.
    ///
    /// A connection made for the check is kept for later requests. The requests that one crash breaks off share a check.
    pub async fn is_process_gone(&self) -> bool {
        let mut check = self.process_check.lock().await;
        if let Some((at, is_gone)) = *check
            && clock::now().saturating_duration_since(at) < PROCESS_CHECK_VALIDITY
        {
            return is_gone;
        }
        let is_gone = self.pool.is_refused(PROCESS_CHECK_TIMEOUT).await;
        *check = Some((clock::now(), is_gone));
        is_gone
    }

    /// Returns what this node knows of the process at the address; `is_list_away` says that the list of runners cannot be
    /// read.
    pub fn process_evidence(&self, is_list_away: bool) -> ProcessEvidence {
        ProcessEvidence {
            has_open_connection: self.pool.has_confirmed_connection(),
            has_lost: self.pool.has_lost(),
            is_list_away,
            confirmed_at: self.lock().confirmed_at,
        }
    }

    /// Records that the listed process answered a question on the connection.
    pub fn record_confirmation(&self, now: Instant, connection: &mut RunnerConnection) {
        self.pool.record_confirmation(connection);
        self.lock().confirmed_at = Some(now);
    }

    /// Forgets failures that were not the runner's.
    pub fn forget_failures(&self) {
        self.lock().outcomes = OutcomeTracker::new(HealthSettings::default());
    }

    /// Sends no request to the runner for a time that it asked for.
    pub fn hold(&self, until: Instant) {
        let mut state = self.lock();
        state.held_until = state.held_until.max(Some(until));
    }

    /// Returns how much longer the runner wants no request of this node.
    pub fn hold_left(&self, now: Instant) -> Option<Duration> {
        let until = self.lock().held_until?;
        Some(until.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }

    /// Returns whether the runner holds a model, and whether it holds the adapter too.
    pub fn holds(&self, now: Instant, name: &ModelName) -> (bool, bool) {
        let listed = self.listed();
        let state = self.lock();
        let is_absent = |name: &ModelName| {
            state
                .absent
                .get(name)
                .is_some_and(|at| now.saturating_duration_since(*at) < ABSENCE_TIMEOUT)
        };
        let base = ModelName {
            model: name.model.clone(),
            adapter: None,
        };
        let adapters = listed.models.get(&name.model);
        let has_model = adapters.is_some() && !is_absent(&base);
        let has_adapter = match &name.adapter {
            None => true,
            Some(adapter) => {
                let is_known =
                    adapters.is_some_and(|known| known.contains(adapter)) || state.loaded_adapters.contains(name);
                is_known && !is_absent(name)
            }
        };
        (has_model, has_model && has_adapter)
    }

    /// Records that an order loaded an adapter.
    pub fn record_adapter_loaded(&self, name: &ModelName) {
        let mut state = self.lock();
        state.absent.remove(name);
        state.loaded_adapters.insert(name.clone());
    }

    /// Records that the runner stated it lacks a model or adapter.
    pub fn record_absent(&self, now: Instant, name: &ModelName) {
        let mut state = self.lock();
        state.loaded_adapters.remove(name);
        state.absent.insert(name.clone(), now);
    }

    /// Returns the expected load, the share of failures and whether the runner is in a cooldown.
    pub fn health(&self, now: Instant) -> (f64, f64, bool) {
        let state = self.lock();
        (
            state.load.expected(now),
            state.outcomes.failure_ratio(now),
            state.outcomes.is_in_cooldown(now),
        )
    }

    /// Returns the number of requests of this node that the runner has.
    pub fn in_flight(&self) -> u32 {
        self.lock().in_flight
    }

    /// Returns the expected time to the first token.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        self.lock().backlog.expected(now)
    }

    /// Returns the number of requests of this node whose answers have not begun.
    pub fn unanswered(&self) -> usize {
        self.lock().backlog.waiting()
    }

    /// Returns the share of the prompt that is not in the runner's prefix cache.
    pub fn uncached_share(&self, request: &RelayRequest) -> f64 {
        self.lock().prefixes.uncached_share(request)
    }

    /// Records the load that the runner reported.
    pub fn report_load(&self, now: Instant, load: ReportedLoad) {
        self.lock().load.report(now, load);
        self.shared_load.report(now, load);
        self.wake_waiting();
    }

    /// Begins an attempt, which lasts until the ticket is dropped.
    pub fn begin(self: &Arc<Self>, request: &RelayRequest) -> RunnerTicket {
        let now = clock::now();
        let mut state = self.lock();
        state.load.begin();
        self.shared_load.begin(now);
        state.in_flight += 1;
        let number = state.backlog.begin(now);
        if !request.parts.is_empty() {
            state.prefixes.record(now, request);
        }
        drop(state);
        RunnerTicket {
            cell: Arc::clone(self),
            number,
            begun_at: now,
            outcome: AttemptOutcome::Neutral,
        }
    }

    /// Lets requests that wait look whether the runner has capacity for them.
    fn wake_waiting(&self) {
        self.waiting.wake(&self.listed().service);
    }

    fn lock(&self) -> MutexGuard<'_, CellState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// One attempt in flight at a runner; dropping the ticket ends it.
#[derive(Debug)]
pub struct RunnerTicket {
    cell: Arc<RunnerCell>,
    number: u64,
    begun_at: Instant,
    outcome: AttemptOutcome,
}

impl RunnerTicket {
    /// Returns the runner.
    pub fn cell(&self) -> &Arc<RunnerCell> {
        &self.cell
    }

    /// Records that the answer has begun, which ends the wait for the first token.
    pub fn record_first_token(&self) {
        self.cell.lock().backlog.end(clock::now(), self.number);
    }

    /// Discards the wait, because the runner did not accept the request.
    pub fn discard_wait(&self) {
        self.cell.lock().backlog.discard(self.number);
    }

    /// Sets how the attempt ended; without a call it is neutral.
    pub fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunnerTicket {
    fn drop(&mut self) {
        let now = clock::now();
        let mut state = self.cell.lock();
        state.load.end();
        let is_answered = self.outcome == AttemptOutcome::Answered;
        let held = is_answered.then(|| now.saturating_duration_since(self.begun_at));
        self.cell.shared_load.end(now, held);
        state.in_flight -= 1;
        if self.outcome == AttemptOutcome::Unreachable {
            state.backlog.discard(self.number);
        } else {
            state.backlog.end(now, self.number);
        }
        match self.outcome {
            AttemptOutcome::Answered => state.outcomes.record(now, false),
            AttemptOutcome::Failed => state.outcomes.record(now, true),
            AttemptOutcome::Unreachable => state.outcomes.record_unreachable(now),
            AttemptOutcome::Neutral => {}
        }
        drop(state);
        if matches!(self.outcome, AttemptOutcome::Failed | AttemptOutcome::Unreachable) {
            self.cell.pool.record_loss();
        }
        self.cell.wake_waiting();
    }
}
