//! One runner as this node sees it.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, RwLock},
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    relay::{
        BacklogEstimate, HealthSettings, ListedRunner, LoadEstimate, ModelName, OutcomeTracker, PrefixIndex,
        RelayRequest, ReportedLoad,
    },
};

use crate::client::{ConnectionPool, PoolSettings};

/// Time for which a runner's denial outweighs its entry, which may be older.
const DENIAL_MEMORY: Duration = Duration::from_secs(2);

/// One runner with its connections and what was learnt of it.
#[derive(Debug)]
pub struct RunnerCell {
    listed: RwLock<Arc<ListedRunner>>,
    /// Idle connections.
    pub pool: ConnectionPool,
    state: Mutex<CellState>,
}

#[derive(Debug)]
struct CellState {
    load: LoadEstimate,
    backlog: BacklogEstimate,
    outcomes: OutcomeTracker,
    prompts: PrefixIndex,
    /// Adapters that were loaded by order after the entry was written.
    added: BTreeSet<ModelName>,
    /// Names that the runner denied to hold, and when.
    denied: HashMap<ModelName, Instant>,
}

/// How an attempt ended, for the health of its runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The runner answered properly.
    Answered,
    /// The runner failed the request or broke off.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// Nothing was learnt: the caller left, or the runner was merely full.
    Neutral,
}

impl RunnerCell {
    /// Creates the cell of a runner that was just listed.
    pub fn new(listed: Arc<ListedRunner>, pool: PoolSettings) -> Self {
        Self {
            pool: ConnectionPool::new(pool, listed.address),
            listed: RwLock::new(listed),
            state: Mutex::new(CellState {
                load: LoadEstimate::default(),
                backlog: BacklogEstimate::default(),
                outcomes: OutcomeTracker::new(HealthSettings::default()),
                prompts: PrefixIndex::default(),
                added: BTreeSet::new(),
                denied: HashMap::new(),
            }),
        }
    }

    /// Returns the runner's entry.
    pub fn listed(&self) -> Arc<ListedRunner> {
        Arc::clone(&self.listed.read().expect("no holder of the lock panics"))
    }

    /// Takes a changed entry of the same start of the runner.
    pub fn update(&self, listed: Arc<ListedRunner>) {
        *self.listed.write().expect("no holder of the lock panics") = listed;
    }

    /// Returns whether the runner holds a model, and whether it holds the adapter too.
    pub fn holds(&self, now: Instant, name: &ModelName) -> (bool, bool) {
        let listed = self.listed();
        let state = self.lock();
        let is_denied = |name: &ModelName| {
            state
                .denied
                .get(name)
                .is_some_and(|at| now.saturating_duration_since(*at) < DENIAL_MEMORY)
        };
        let base = ModelName {
            model: name.model.clone(),
            adapter: None,
        };
        let adapters = listed.models.get(&name.model);
        let has_model = adapters.is_some() && !is_denied(&base);
        let has_adapter = match &name.adapter {
            None => true,
            Some(adapter) => {
                let is_known = adapters.is_some_and(|known| known.contains(adapter)) || state.added.contains(name);
                is_known && !is_denied(name)
            }
        };
        (has_model, has_model && has_adapter)
    }

    /// Notes that an adapter was loaded by order.
    pub fn note_added(&self, name: &ModelName) {
        let mut state = self.lock();
        state.denied.remove(name);
        state.added.insert(name.clone());
    }

    /// Notes that the runner denied to hold a model or adapter.
    pub fn note_denied(&self, now: Instant, name: &ModelName) {
        let mut state = self.lock();
        state.added.remove(name);
        state.denied.insert(name.clone(), now);
    }

    /// Returns the expected load, the share of failures and whether the runner is left alone.
    pub fn figures(&self, now: Instant) -> (f64, f64, bool) {
        let state = self.lock();
        (
            state.load.expected(now),
            state.outcomes.failure_ratio(now),
            state.outcomes.is_in_cooldown(now),
        )
    }

    /// Returns the expected wait for a first word.
    pub fn expected_wait(&self, now: Instant) -> Duration {
        self.lock().backlog.expected(now)
    }

    /// Returns the share of a prompt that the runner would have to read.
    pub fn unread_share(&self, request: &RelayRequest) -> f64 {
        self.lock().prompts.uncached_share(request)
    }

    /// Takes the load that the runner states.
    pub fn report_load(&self, now: Instant, load: ReportedLoad) {
        self.lock().load.report(now, load);
    }

    /// Begins an attempt.
    pub fn begin(self: &Arc<Self>, request: &RelayRequest) -> RunnerTicket {
        let mut state = self.lock();
        state.load.begin();
        let number = state.backlog.begin(clock::now());
        if !request.parts.is_empty() {
            state.prompts.record(clock::now(), request);
        }
        drop(state);
        RunnerTicket {
            cell: Arc::clone(self),
            number,
            end: AttemptEnd::Neutral,
        }
    }

    fn lock(&self) -> MutexGuard<'_, CellState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// A place taken at a runner until it is dropped.
#[derive(Debug)]
pub struct RunnerTicket {
    cell: Arc<RunnerCell>,
    number: u64,
    end: AttemptEnd,
}

impl RunnerTicket {
    /// Returns the runner.
    pub fn cell(&self) -> &Arc<RunnerCell> {
        &self.cell
    }

    /// Notes that the first word of the answer has come.
    pub fn note_first_word(&self) {
        self.cell.lock().backlog.end(clock::now(), self.number);
    }

    /// Notes that the runner did not take the request.
    pub fn note_not_taken(&self) {
        self.cell.lock().backlog.discard(self.number);
    }

    /// Says how the attempt ended.
    pub fn set_end(&mut self, end: AttemptEnd) {
        self.end = end;
    }
}

impl Drop for RunnerTicket {
    fn drop(&mut self) {
        let now = clock::now();
        let mut state = self.cell.lock();
        state.load.end();
        if self.end == AttemptEnd::Unreachable {
            state.backlog.discard(self.number);
        } else {
            state.backlog.end(now, self.number);
        }
        match self.end {
            AttemptEnd::Answered => state.outcomes.record(now, false),
            AttemptEnd::Failed => state.outcomes.record(now, true),
            AttemptEnd::Unreachable => state.outcomes.record_unreachable(now),
            AttemptEnd::Neutral => {}
        }
    }
}
