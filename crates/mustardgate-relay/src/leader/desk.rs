//! What a node knows of the leader, and what it remembers of runners while it leads.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ids::{BackendId, ModelId, Offset, ServiceId},
    lease::{LeaseSettings, LeaseTracker},
    log::LeaseRecord,
    placement::share::LoadAccount,
    relay::{AdapterEvictor, ListedRunner, ModelName, PlacementPlanner, PlannerSettings},
};

use super::{
    LeaseClock,
    lease::{LeaseEntry, LoadAccounts},
};
use crate::{context::DemandDigest, ports::RunnerReport};

/// Factor on the time of a load after which an order is taken to have come to nothing.
const LOAD_PATIENCE: u32 = 2;
/// Time for an eviction, which waits for runs to finish.
const EVICTION_PATIENCE: Duration = Duration::from_secs(8);
/// Time for which one failed renewal extends a claim while the log is away.
const EXTENSION: Duration = Duration::from_millis(1_500);
/// Token of the first lease that there ever was.
const FIRST_TOKEN: u64 = 1;
/// Longest time to a first word that a digest may state, in seconds.
const MAX_FIRST_WORD_S: f64 = 60.0;
/// Time for which a runner that cannot take an order gets no other.
const DEFER_TIME: Duration = Duration::from_millis(800);
/// Time by which a runner's report lags behind its state.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Time within which an answer of the leader shows that it still leads.
const CONTACT_MEMORY: Duration = Duration::from_millis(1_800);

/// Role of this node among the leaders.
#[derive(Debug)]
pub struct LeaderDesk {
    clock: Arc<dyn LeaseClock>,
    state: Mutex<DeskState>,
    runners: Mutex<BTreeMap<BackendId, Arc<RunnerDesk>>>,
}

#[derive(Debug)]
pub(super) struct DeskState {
    pub(super) tracker: LeaseTracker,
    /// Claim under which this node acts while the log is away, and until when.
    extension: Option<(Offset, Instant)>,
    last_claim: Option<Offset>,
    /// Loads as the newest record of the lease tells, and as the last record before the newest claim told.
    newest_loads: Option<ToldLoads>,
    inherited_loads: Option<ToldLoads>,
    pub(super) leader: Option<SocketAddr>,
    pub(super) contact_at: Option<Instant>,
    pub(super) planners: BTreeMap<ServiceId, PlacementPlanner>,
    planner_settings: PlannerSettings,
    /// Whether nobody led before, so that no loads of others are under way.
    is_first_term: bool,
    pub(super) adapters: AdapterEvictor,
    pub(super) arrivals: BTreeMap<ServiceId, BTreeMap<ModelId, f64>>,
}

/// Accounts of loads as a record of the lease told them.
#[derive(Clone, Debug)]
struct ToldLoads {
    /// When the record was read, on the lease's clock.
    read_at: Instant,
    by_service: LoadAccounts,
}

impl ToldLoads {
    fn account(&self, lease_now: Instant, service: &ServiceId) -> Option<(Duration, &LoadAccount)> {
        let age = lease_now.saturating_duration_since(self.read_at);
        self.by_service.get(service).map(|account| (age, account))
    }
}

/// What the leader remembers of one start of a runner. The lock is held while an order is out.
#[derive(Debug)]
pub(super) struct RunnerDesk {
    pub(super) started_at_ms: u64,
    pub(super) orders: tokio::sync::Mutex<OrderMemory>,
    pending: Mutex<PendingMoves>,
}

/// State of a runner as the leader last read it, brought forward by its own orders.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderMemory {
    pub(super) report: Option<RunnerReport>,
    /// Count after the last accepted order, and when that was. Reports lag behind it for a while.
    pub(super) counted: Option<(u64, Instant)>,
    /// When a report shows what the last refused or doubtful order left behind.
    pub(super) settled_at: Option<Instant>,
}

impl OrderMemory {
    /// Forgets the runner's state until reports show what an order left behind.
    pub(super) fn doubt(&mut self) {
        self.report = None;
        self.settled_at = Some(clock::now() + REPORT_LAG);
    }

    /// Returns whether a report may be from before the last accepted order. A count that still lags later is right: an
    /// accepted eviction counts only once it is done.
    pub(super) fn is_outdated(&self, report: &RunnerReport) -> bool {
        self.counted.is_some_and(|(count, at)| {
            report.order_count < count && clock::now().saturating_duration_since(at) < REPORT_LAG
        })
    }

    /// Returns whether a report read now would show everything that was ordered.
    pub(super) fn is_settled(&self) -> bool {
        self.settled_at.is_none_or(|at| clock::now() >= at)
    }
}

/// Orders about models whose outcome the runner's entry does not show yet.
#[derive(Clone, Debug, Default)]
struct PendingMoves {
    arriving: BTreeMap<ModelId, Instant>,
    leaving: BTreeMap<ModelId, Instant>,
    /// Until when the runner gets no further order about models.
    deferred_until: Option<Instant>,
}

impl LeaderDesk {
    /// Creates the desk of a node that has read no lease.
    pub fn new(settings: LeaseSettings, planner_settings: PlannerSettings, clock: Arc<dyn LeaseClock>) -> Self {
        Self {
            clock,
            state: Mutex::new(DeskState {
                tracker: LeaseTracker::new(settings),
                extension: None,
                last_claim: None,
                newest_loads: None,
                inherited_loads: None,
                leader: None,
                contact_at: None,
                planners: BTreeMap::new(),
                planner_settings,
                is_first_term: false,
                adapters: AdapterEvictor::default(),
                arrivals: BTreeMap::new(),
            }),
            runners: Mutex::default(),
        }
    }

    /// Returns the fencing token under which this node may order now.
    ///
    /// Tokens are above zero, because a runner that saw none may take zero for the lowest.
    pub fn token(&self) -> Option<u64> {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(claim) = state.tracker.held_claim(now) {
            state.last_claim = Some(claim);
            return Some(claim + 1);
        }
        let in_force = state.tracker.claim_in_force();
        let extension = state
            .extension
            .filter(|(claim, until)| now < *until && in_force == Some(*claim));
        extension.map(|(claim, _)| claim + 1)
    }

    /// Goes on for a moment under a claim that could not be renewed because the log is away.
    ///
    /// Only where runners refuse old tokens: a successor's higher token then ends this one at every runner, whatever this
    /// node believes. A node that was suspended has no extension when it wakes, since it is counted by the lease's clock.
    pub(super) fn extend(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_in_force = state.last_claim.is_some() && state.tracker.claim_in_force() == state.last_claim;
        state.extension = state
            .last_claim
            .filter(|_| is_in_force)
            .map(|claim| (claim, now + EXTENSION));
    }

    /// Returns the time on the clock that goes on while the machine is suspended.
    pub fn lease_time(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the peer address of the node that leads, as far as it is known.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.lock().leader
    }

    /// Notes that the leader answered as such.
    pub fn note_contact(&self, is_leading: bool) {
        self.lock().contact_at = is_leading.then(clock::now);
    }

    /// Returns whether the leader answered of late, so that the log need not be asked for a newer lease.
    pub(super) fn has_contact(&self) -> bool {
        let now = clock::now();
        self.lock()
            .contact_at
            .is_some_and(|at| now.saturating_duration_since(at) < CONTACT_MEMORY)
    }

    /// Gives the lease up, or claims none, because the node stops.
    pub fn drain(&self) {
        self.lock().tracker.drain();
    }

    /// Stops acting under a claim that a runner refused.
    pub(super) fn forfeit(&self) {
        let mut state = self.lock();
        state.extension = None;
        state.last_claim = None;
        state.tracker.forfeit();
    }

    /// Takes demand that a node counted.
    pub fn take_digest(&self, digest: &DemandDigest) {
        let (now, lease_now) = (clock::now(), self.clock.now());
        let mut state = self.lock();
        for (service, models) in &digest.arrivals {
            let arrivals = state.arrivals.entry(service.clone()).or_default();
            for (model, count) in models {
                *arrivals.entry(model.clone()).or_default() += count;
            }
        }
        for (backend, names) in &digest.adapter_uses {
            for name in names {
                state.adapters.record_use(now, backend, &ModelName::parse(name));
            }
        }
        for (service, service_time_s) in &digest.service_time_s {
            let planner = state.planner(service, lease_now);
            planner.record_first_token_time(Duration::from_secs_f64(service_time_s.clamp(0.0, MAX_FIRST_WORD_S)));
        }
    }

    pub(super) fn observe(&self, offset: Offset, entry: &LeaseEntry) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.tracker.observe(now, offset, &entry.record);
        state.leader = (!entry.record.released).then_some(entry.address);
        if entry.record.renews.is_none() {
            state.inherited_loads = state.newest_loads.take();
        }
        state.newest_loads = Some(ToldLoads {
            read_at: now,
            by_service: entry.loads.clone(),
        });
    }

    /// Returns the account of this leader's loads for its successor, by service.
    pub(super) fn account_loads(&self) -> LoadAccounts {
        let now = clock::now();
        let mut state = self.lock();
        let accounts = state.planners.iter_mut().filter_map(|(service, planner)| {
            let account = planner.load_account(now)?;
            Some((service.clone(), account))
        });
        accounts.collect()
    }

    /// Notes that the last account is in the log.
    pub(super) fn confirm_loads(&self) {
        self.lock()
            .planners
            .values_mut()
            .for_each(PlacementPlanner::confirm_account);
    }

    pub(super) fn start_lease(&self, from: Offset) {
        self.lock().tracker.start(from);
    }

    pub(super) fn poll_lease(&self) -> Option<LeaseRecord> {
        let now = self.clock.now();
        self.lock().tracker.poll(now)
    }

    pub(super) fn append_failed(&self) {
        self.lock().tracker.append_failed();
    }

    /// Returns the desk of a runner's present start.
    pub(super) fn runner(&self, listed: &ListedRunner) -> Arc<RunnerDesk> {
        let mut runners = self.runners.lock().expect("no holder of the lock panics");
        let known = runners.get(&listed.id);
        if let Some(desk) = known.filter(|desk| desk.started_at_ms == listed.started_at_ms) {
            return Arc::clone(desk);
        }
        let desk = Arc::new(RunnerDesk {
            started_at_ms: listed.started_at_ms,
            orders: tokio::sync::Mutex::default(),
            pending: Mutex::default(),
        });
        runners.insert(listed.id.clone(), Arc::clone(&desk));
        self.lock().adapters.forget_runner(&listed.id);
        desk
    }

    /// Forgets what was learnt as leader, since another one may have acted meanwhile.
    pub(super) fn begin_term(&self, token: Option<u64>) {
        self.lock().is_first_term = token == Some(FIRST_TOKEN);
        self.runners.lock().expect("no holder of the lock panics").clear();
        let lease_now = self.clock.now();
        let mut state = self.lock();
        let DeskState {
            planners,
            inherited_loads,
            ..
        } = &mut *state;
        for (service, planner) in planners {
            let told = inherited_loads
                .as_ref()
                .and_then(|told| told.account(lease_now, service));
            planner.begin_term(clock::now(), told);
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl DeskState {
    pub(super) fn planner(&mut self, service: &ServiceId, lease_now: Instant) -> &mut PlacementPlanner {
        let (settings, is_first_term) = (self.planner_settings, self.is_first_term);
        let inherited = self.inherited_loads.as_ref();
        self.planners.entry(service.clone()).or_insert_with(|| {
            let mut planner = PlacementPlanner::new(settings);
            if !is_first_term {
                let told = inherited.and_then(|told| told.account(lease_now, service));
                planner.begin_term(clock::now(), told);
            }
            planner
        })
    }
}

impl RunnerDesk {
    /// Notes an order about a model that was accepted, or may have been.
    pub(super) fn note_move(&self, model: &ModelId, is_load: bool, load_time: Duration) {
        let mut pending = self.pending();
        if is_load {
            let until = clock::now() + load_time * LOAD_PATIENCE + Duration::from_secs(1);
            pending.arriving.insert(model.clone(), until);
        } else {
            pending.leaving.insert(model.clone(), clock::now() + EVICTION_PATIENCE);
        }
    }

    /// Returns the models that may arrive and leave beyond what the entry shows.
    pub(super) fn pending_moves(&self, listed: &ListedRunner) -> (BTreeSet<ModelId>, BTreeSet<ModelId>) {
        let now = clock::now();
        let mut pending = self.pending();
        pending
            .arriving
            .retain(|model, until| !listed.models.contains_key(model) && now < *until);
        pending
            .leaving
            .retain(|model, until| listed.models.contains_key(model) && now < *until);
        let names = |moves: &BTreeMap<ModelId, Instant>| moves.keys().cloned().collect();
        (names(&pending.arriving), names(&pending.leaving))
    }

    /// Leaves the runner alone for a while, since it cannot take an order about models.
    pub(super) fn defer(&self) {
        self.pending().deferred_until = Some(clock::now() + DEFER_TIME);
    }

    /// Returns whether the runner is left alone now.
    pub(super) fn is_deferred(&self) -> bool {
        self.pending().deferred_until.is_some_and(|until| clock::now() < until)
    }

    fn pending(&self) -> MutexGuard<'_, PendingMoves> {
        self.pending.lock().expect("no holder of the lock panics")
    }
}
