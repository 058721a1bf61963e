//! What a node knows about the current leader, and the state of runners that it keeps while it leads.

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

/// A load order counts as failed after this multiple of the model's load time and one more second.
const LOAD_TIMEOUT_FACTOR: u32 = 2;
/// Time after which an eviction order counts as failed; an eviction waits for running requests to finish.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(8);
/// Time by which one failed renewal extends a claim while the log is unavailable.
const EXTENSION_TIME: Duration = Duration::from_millis(1_500);
/// Token of the first lease in the log, whose claim is at offset 0.
const FIRST_FENCING_TOKEN: u64 = 1;
/// Longest accepted time to the first token in a demand digest, in seconds.
const MAX_FIRST_TOKEN_TIME_S: f64 = 60.0;
/// Time for which a runner that cannot accept an order receives no further order about models.
const DEFER_TIME: Duration = Duration::from_millis(800);
/// Longest time by which a runner's report lags behind its state.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Time for which an answer of the leader counts as proof that it still leads.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Leadership as this node knows it, shared between its tasks.
#[derive(Debug)]
pub struct SharedLeadership {
    clock: Arc<dyn LeaseClock>,
    state: Mutex<LeadershipState>,
    runners: Mutex<BTreeMap<BackendId, Arc<RunnerOrders>>>,
}

#[derive(Debug)]
pub(super) struct LeadershipState {
    pub(super) tracker: LeaseTracker,
    /// Claim under which this node acts while the log is unavailable, and until when.
    extension: Option<(Offset, Instant)>,
    last_claim: Option<Offset>,
    /// Loads in the newest lease record.
    latest_loads: Option<LoadSnapshot>,
    /// Loads in the last lease record before the newest claim.
    inherited_loads: Option<LoadSnapshot>,
    pub(super) leader: Option<SocketAddr>,
    pub(super) contact_at: Option<Instant>,
    pub(super) planners: BTreeMap<ServiceId, PlacementPlanner>,
    planner_settings: PlannerSettings,
    /// Whether no node led before, so that no loads of a former leader are in progress.
    is_first_term: bool,
    pub(super) evictor: AdapterEvictor,
    pub(super) arrivals: BTreeMap<ServiceId, BTreeMap<ModelId, f64>>,
}

/// Load accounts from one lease record.
#[derive(Clone, Debug)]
struct LoadSnapshot {
    /// When the record was read, on the lease's clock.
    read_at: Instant,
    by_service: LoadAccounts,
}

impl LoadSnapshot {
    fn account(&self, lease_now: Instant, service: &ServiceId) -> Option<(Duration, &LoadAccount)> {
        let age = lease_now.saturating_duration_since(self.read_at);
        self.by_service.get(service).map(|account| (age, account))
    }
}

/// Orders to one process of a runner. The lock of the cache is held while an order is in progress.
#[derive(Debug)]
pub(super) struct RunnerOrders {
    pub(super) started_at_ms: u64,
    pub(super) cache: tokio::sync::Mutex<ReportCache>,
    pending: Mutex<PendingMoves>,
}

/// The last report that the leader read from a runner, updated with the leader's own orders since.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportCache {
    pub(super) report: Option<RunnerReport>,
    /// Order count after the last accepted order, and when it was accepted. Reports lag behind it by up to
    /// [`REPORT_LAG`].
    pub(super) last_count: Option<(u64, Instant)>,
    /// When reports show the effect of the last order whose reply contradicted the report or left its outcome unknown.
    pub(super) settled_at: Option<Instant>,
}

impl ReportCache {
    /// Discards the report; none is read until reports show the effect of the last order.
    pub(super) fn invalidate(&mut self) {
        self.report = None;
        self.settled_at = Some(clock::now() + REPORT_LAG);
    }

    /// Returns whether a report may be older than the last accepted order. After [`REPORT_LAG`] a lower count is
    /// correct, because the runner counts an accepted eviction only once it is done.
    pub(super) fn is_outdated(&self, report: &RunnerReport) -> bool {
        self.last_count.is_some_and(|(count, at)| {
            report.order_count < count && clock::now().saturating_duration_since(at) < REPORT_LAG
        })
    }

    /// Returns whether a report read now would show the effect of every order.
    pub(super) fn is_settled(&self) -> bool {
        self.settled_at.is_none_or(|at| clock::now() >= at)
    }
}

/// Models whose ordered load or eviction the runner's entry does not show yet, with the time when the order counts as
/// failed.
#[derive(Clone, Debug, Default)]
struct PendingMoves {
    arriving: BTreeMap<ModelId, Instant>,
    leaving: BTreeMap<ModelId, Instant>,
    /// Until when the runner receives no further order about models.
    deferred_until: Option<Instant>,
}

impl SharedLeadership {
    /// Creates the state of a node that has read no lease.
    pub fn new(settings: LeaseSettings, planner_settings: PlannerSettings, clock: Arc<dyn LeaseClock>) -> Self {
        Self {
            clock,
            state: Mutex::new(LeadershipState {
                tracker: LeaseTracker::new(settings),
                extension: None,
                last_claim: None,
                latest_loads: None,
                inherited_loads: None,
                leader: None,
                contact_at: None,
                planners: BTreeMap::new(),
                planner_settings,
                is_first_term: false,
                evictor: AdapterEvictor::default(),
                arrivals: BTreeMap::new(),
            }),
            runners: Mutex::default(),
        }
    }

    /// Returns the fencing token under which this node may send orders now.
    ///
    /// Tokens are above zero, because a runner that has seen none may treat zero as the lowest.
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

    /// Extends a claim by [`EXTENSION_TIME`] when it could not be renewed because the log is unavailable.
    ///
    /// Safe only where runners refuse old tokens: once a runner has seen a successor's higher token, it refuses orders
    /// under this claim. A suspended node has no extension when it resumes, because the lease clock measures it.
    pub(super) fn extend(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_in_force = state.last_claim.is_some() && state.tracker.claim_in_force() == state.last_claim;
        state.extension = state
            .last_claim
            .filter(|_| is_in_force)
            .map(|claim| (claim, now + EXTENSION_TIME));
    }

    /// Returns the time on the clock that keeps running while the machine is suspended.
    pub fn lease_time(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the peer address of the leader, if known.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.lock().leader
    }

    /// Records whether the node believed to lead answered as leader.
    pub fn record_leader_contact(&self, is_leading: bool) {
        self.lock().contact_at = is_leading.then(clock::now);
    }

    /// Returns whether the leader answered within [`CONTACT_TIMEOUT`], so that the log need not be read as often.
    pub(super) fn has_contact(&self) -> bool {
        let now = clock::now();
        self.lock()
            .contact_at
            .is_some_and(|at| now.saturating_duration_since(at) < CONTACT_TIMEOUT)
    }

    /// Releases the lease and makes no further claim, because the node stops.
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

    /// Records demand counted by a node.
    pub fn record_demand(&self, digest: &DemandDigest) {
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
                state.evictor.record_use(now, backend, &ModelName::parse(name));
            }
        }
        for (service, service_time_s) in &digest.service_time_s {
            let planner = state.planner(service, lease_now);
            planner.record_first_token_time(Duration::from_secs_f64(
                service_time_s.clamp(0.0, MAX_FIRST_TOKEN_TIME_S),
            ));
        }
    }

    pub(super) fn observe(&self, offset: Offset, entry: &LeaseEntry) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.tracker.observe(now, offset, &entry.record);
        state.leader = (!entry.record.released).then_some(entry.address);
        if entry.record.renews.is_none() {
            state.inherited_loads = state.latest_loads.take();
        }
        state.latest_loads = Some(LoadSnapshot {
            read_at: now,
            by_service: entry.loads.clone(),
        });
    }

    /// Returns this leader's load accounts, which its successor continues.
    pub(super) fn load_accounts(&self) -> LoadAccounts {
        let now = clock::now();
        let mut state = self.lock();
        let accounts = state.planners.iter_mut().filter_map(|(service, planner)| {
            let account = planner.load_account(now)?;
            Some((service.clone(), account))
        });
        accounts.collect()
    }

    /// Records that the accounts returned last are in the log.
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

    /// Returns the orders to a runner's current process; those to an earlier process are discarded.
    pub(super) fn runner_orders(&self, listed: &ListedRunner) -> Arc<RunnerOrders> {
        let mut runners = self.runners.lock().expect("no holder of the lock panics");
        let known = runners.get(&listed.id);
        if let Some(orders) = known.filter(|orders| orders.started_at_ms == listed.started_at_ms) {
            return Arc::clone(orders);
        }
        let orders = Arc::new(RunnerOrders {
            started_at_ms: listed.started_at_ms,
            cache: tokio::sync::Mutex::default(),
            pending: Mutex::default(),
        });
        runners.insert(listed.id.clone(), Arc::clone(&orders));
        self.lock().evictor.forget_runner(&listed.id);
        orders
    }

    /// Discards state from an earlier term, since another leader may have acted in between.
    pub(super) fn begin_term(&self, token: Option<u64>) {
        self.lock().is_first_term = token == Some(FIRST_FENCING_TOKEN);
        self.runners.lock().expect("no holder of the lock panics").clear();
        let lease_now = self.clock.now();
        let mut state = self.lock();
        let LeadershipState {
            planners,
            inherited_loads,
            ..
        } = &mut *state;
        for (service, planner) in planners {
            let former = inherited_loads
                .as_ref()
                .and_then(|former| former.account(lease_now, service));
            planner.begin_term(clock::now(), former);
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LeadershipState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl LeadershipState {
    pub(super) fn planner(&mut self, service: &ServiceId, lease_now: Instant) -> &mut PlacementPlanner {
        let (settings, is_first_term) = (self.planner_settings, self.is_first_term);
        let inherited = self.inherited_loads.as_ref();
        self.planners.entry(service.clone()).or_insert_with(|| {
            let mut planner = PlacementPlanner::new(settings);
            if !is_first_term {
                let former = inherited.and_then(|former| former.account(lease_now, service));
                planner.begin_term(clock::now(), former);
            }
            planner
        })
    }
}

impl RunnerOrders {
    /// Records an order about a model that was or may have been accepted.
    pub(super) fn record_move(&self, model: &ModelId, is_load: bool, load_time: Duration) {
        let mut pending = self.pending();
        if is_load {
            let until = clock::now() + load_time * LOAD_TIMEOUT_FACTOR + Duration::from_secs(1);
            pending.arriving.insert(model.clone(), until);
        } else {
            pending.leaving.insert(model.clone(), clock::now() + EVICTION_TIMEOUT);
        }
    }

    /// Returns the models that may be loaded or evicted by orders that the entry does not show yet.
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

    /// Sends no order about models for [`DEFER_TIME`], because the runner cannot accept one.
    pub(super) fn defer(&self) {
        self.pending().deferred_until = Some(clock::now() + DEFER_TIME);
    }

    /// Returns whether orders about models are deferred now.
    pub(super) fn is_deferred(&self) -> bool {
        self.pending().deferred_until.is_some_and(|until| clock::now() < until)
    }

    fn pending(&self) -> MutexGuard<'_, PendingMoves> {
        self.pending.lock().expect("no holder of the lock panics")
    }
}
