//! What a node knows about the current leader, and the state of runners that it keeps while it leads.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ids::{BackendId, ModelId, Offset, ServiceId},
    lease::LeaseTracker,
    log::LeaseRecord,
    ports::LogEra,
    relay::{AdapterEvictor, ListedRunner, ModelName, OrderClaims, PlacementPlanner, PlannerSettings},
};

use tokio::sync::Notify;

use super::{
    LeaseClock,
    lease::{LeaseEntry, LoadAccounts},
    load_snapshot::LoadSnapshot,
    runner_orders::RunnerOrders,
};
use crate::context::DemandDigest;

/// Time by which one failed renewal extends a claim while the log is unavailable.
const EXTENSION_TIME: Duration = Duration::from_millis(1_500);
/// Longest time for which a leader may act after the term of the next one began.
pub const MAX_LEADER_OVERLAP: Duration = EXTENSION_TIME;
/// Bits of a fencing token below the era of the log. Offsets are given out again after a restore, so the era makes tokens
/// unique and higher than all before.
const OFFSET_BITS: u32 = 40;
/// Longest accepted time to the first token in a demand digest, in seconds.
const MAX_FIRST_TOKEN_TIME_S: f64 = 60.0;
/// Time for which an answer of the leader counts as proof that it still leads.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_800);

/// A term in which this node leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Fencing token of the term.
    pub token: u64,
    /// Whether no node led before.
    pub is_first: bool,
}

/// Leadership as this node knows it, shared between its tasks.
#[derive(Debug)]
pub struct SharedLeadership {
    clock: Arc<dyn LeaseClock>,
    state: Mutex<LeadershipState>,
    runners: Mutex<BTreeMap<BackendId, Arc<RunnerOrders>>>,
    /// Told of each claim that is read or made.
    claimed: Notify,
    /// When this node's term began, if runners accept the orders of former leaders.
    unfenced_since: Mutex<Option<Instant>>,
}

#[derive(Debug)]
pub(super) struct LeadershipState {
    pub(super) tracker: LeaseTracker,
    /// Claim under which this node acts while the log is unavailable, and until when.
    extension: Option<(Offset, Instant)>,
    last_claim: Option<Offset>,
    /// Era of the log in which the lease is read.
    era: LogEra,
    /// Highest era of the authors of the lease records read so far.
    author_era: LogEra,
    /// Whether the log was restored since this node started.
    has_restore: bool,
    /// Loads in the newest lease record.
    latest_loads: Option<LoadSnapshot>,
    /// Loads in the last lease record before the newest claim.
    inherited_loads: Option<LoadSnapshot>,
    pub(super) leader: Option<SocketAddr>,
    /// Number of nodes in the newest lease record that holds one.
    nodes: u32,
    pub(super) contact_at: Option<Instant>,
    pub(super) planners: BTreeMap<ServiceId, PlacementPlanner>,
    planner_settings: PlannerSettings,
    /// Whether no node led before, so that no loads of a former leader are in progress.
    is_first_term: bool,
    /// When this node's term began.
    term_since: Option<Instant>,
    pub(super) evictor: AdapterEvictor,
    pub(super) arrivals: BTreeMap<ServiceId, BTreeMap<ModelId, f64>>,
}

impl SharedLeadership {
    /// Creates the state of a node that has read no lease.
    pub fn new(tracker: LeaseTracker, planner_settings: PlannerSettings, clock: Arc<dyn LeaseClock>) -> Self {
        Self {
            clock,
            state: Mutex::new(LeadershipState {
                tracker,
                extension: None,
                last_claim: None,
                era: 0,
                author_era: 0,
                has_restore: false,
                latest_loads: None,
                inherited_loads: None,
                leader: None,
                nodes: 0,
                contact_at: None,
                planners: BTreeMap::new(),
                planner_settings,
                is_first_term: false,
                term_since: None,
                evictor: AdapterEvictor::default(),
                arrivals: BTreeMap::new(),
            }),
            runners: Mutex::default(),
            claimed: Notify::new(),
            unfenced_since: Mutex::default(),
        }
    }

    /// Returns the fencing token under which this node may send orders now.
    pub fn token(&self) -> Option<u64> {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(claim) = state.tracker.held_claim(now) {
            state.last_claim = Some(claim);
            return Some(state.fencing_token(claim));
        }
        let in_force = state.tracker.claim_in_force();
        let extension = state
            .extension
            .filter(|(claim, until)| now < *until && in_force == Some(*claim));
        extension.map(|(claim, _)| state.fencing_token(claim))
    }

    /// Returns the term in which this node leads now.
    pub fn term(&self) -> Option<LeaderTerm> {
        let token = self.token()?;
        let is_first = self.lock().is_first_token(token);
        Some(LeaderTerm { token, is_first })
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

    /// Returns whether this node's term has lasted for a time, or is the first of all.
    pub fn has_led_for(&self, time: Duration) -> bool {
        let now = clock::now();
        let state = self.lock();
        let has_lasted = |since: Instant| state.is_first_term || now.saturating_duration_since(since) >= time;
        state.term_since.is_some_and(has_lasted)
    }

    /// Returns the peer address of the leader, if known.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.lock().leader
    }

    /// Returns the number of nodes in the newest lease record that holds one, or 0.
    pub fn nodes_in_lease(&self) -> u32 {
        self.lock().nodes
    }

    /// Waits until a claim has been read or made since the last call.
    pub async fn next_claim(&self) {
        self.claimed.notified().await;
    }

    /// Records whether the node believed to lead answered as leader.
    pub fn record_leader_contact(&self, is_leading: bool) {
        self.lock().contact_at = is_leading.then(clock::now);
    }

    /// Returns whether the leader answered within [`CONTACT_TIMEOUT`], so that the log need not be read as often.
    pub fn has_contact(&self) -> bool {
        let now = clock::now();
        self.lock()
            .contact_at
            .is_some_and(|at| now.saturating_duration_since(at) < CONTACT_TIMEOUT)
    }

    /// Releases the lease and makes no further claim, because the node stops.
    pub fn drain(&self) {
        self.lock().tracker.drain();
    }

    /// Sets whether the node neither renews the lease nor claims it, because it reaches no runner.
    pub(super) fn set_withdrawn(&self, is_withdrawn: bool) {
        self.lock().tracker.set_withdrawn(is_withdrawn);
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
        if entry.era < state.author_era {
            // Its author had not noticed the restore; the offset only happened to fit.
            return;
        }
        state.author_era = entry.era;
        state.tracker.observe(now, offset, &entry.record);
        state.leader = (!entry.record.released).then_some(entry.address);
        if entry.nodes > 0 {
            state.nodes = entry.nodes;
        }
        if entry.record.renews.is_none() {
            self.claimed.notify_one();
            // What was begun after the copy was made is missing from an account of an earlier era.
            state.inherited_loads = state.latest_loads.take().filter(|loads| loads.era == entry.era);
        }
        state.latest_loads = Some(LoadSnapshot {
            read_at: now,
            era: entry.era,
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

    /// Starts reading the lease at an offset of an era.
    pub(super) fn start_lease(&self, era: LogEra, from: Offset) {
        let mut state = self.lock();
        state.era = era;
        state.tracker.start(from);
    }

    /// Gives the lease up and forgets what was read of it, because the log was restored from an older copy.
    pub(super) fn restart_lease(&self) {
        let mut state = self.lock();
        state.has_restore = true;
        state.author_era = 0;
        state.extension = None;
        state.last_claim = None;
        state.latest_loads = None;
        state.inherited_loads = None;
        state.leader = None;
        state.tracker.start(0);
    }

    pub(super) fn poll_lease(&self) -> Option<LeaseRecord> {
        let now = self.clock.now();
        self.lock().tracker.poll(now)
    }

    pub(super) fn append_failed(&self) {
        self.lock().tracker.append_failed();
    }

    /// Returns the orders to a runner's current process; of those to an earlier process only the claims are kept.
    pub(super) fn runner_orders(&self, listed: &ListedRunner) -> Arc<RunnerOrders> {
        let mut runners = self.runners.lock().expect("no holder of the lock panics");
        let known = runners.get(&listed.id);
        if let Some(orders) = known.filter(|orders| orders.started_at_ms == listed.started_at_ms) {
            return Arc::clone(orders);
        }
        let claims = known.map_or_else(
            || Arc::new(Mutex::new(self.first_claims())),
            |orders| orders.shared_claims(),
        );
        let orders = Arc::new(RunnerOrders::new(listed.started_at_ms, claims));
        runners.insert(listed.id.clone(), Arc::clone(&orders));
        self.lock().evictor.forget_runner(&listed.id);
        orders
    }

    /// Returns the claims on a runner that has received no order in this term.
    fn first_claims(&self) -> OrderClaims {
        let since = *self.unfenced_since.lock().expect("no holder of the lock panics");
        since.map_or_else(OrderClaims::default, OrderClaims::after_unfenced_leader)
    }

    /// Discards state from an earlier term, since another leader may have acted in between. Where runners refuse old
    /// tokens, the first order of the new term ends all former claims.
    pub(super) fn begin_term(&self, token: Option<u64>, has_fencing: bool) {
        let is_first_term = {
            let mut state = self.lock();
            state.begin_term(token);
            state.is_first_term
        };
        let since = (!has_fencing && !is_first_term).then(clock::now);
        *self.unfenced_since.lock().expect("no holder of the lock panics") = since;
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
    /// Returns the token of a claim; it is above zero, because a runner that has seen none may treat zero as the lowest.
    fn fencing_token(&self, claim: Offset) -> u64 {
        (self.era << OFFSET_BITS) + claim + 1
    }

    /// Records when the term that begins did, and whether it is the first of all.
    fn begin_term(&mut self, token: Option<u64>) {
        self.is_first_term = token.is_some_and(|token| self.is_first_token(token));
        self.term_since = token.map(|_| clock::now());
    }

    fn is_first_token(&self, token: u64) -> bool {
        !self.has_restore && token == self.fencing_token(0)
    }

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
