//! The proportional placement policy.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::{
    candidates::ReplicaCandidate,
    counts::ReplicaCounts,
    window::{LoadAccount, LoadBound, LoadWindow},
};
use crate::{
    ids::{BackendId, MemoryMib},
    log::Artifact,
    placement::{
        AcceleratorView, DomainView, HoldingState, PlacementPolicy, PlannedMove, RunnerView,
        gain::{LoadTimes, ResidenceTracker},
    },
};

/// Settings of [`SharePolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareSettings {
    /// Part of a runner's capacity up to which another replica brings no benefit.
    pub comfortable_utilisation: f64,
    /// Minimum time that a replica stays resident before it may be evicted.
    pub min_residence: Duration,
    /// Factor by which the rate per replica of the loaded model must exceed that of the evicted model, each after the
    /// move.
    pub hysteresis: f64,
    /// Time for which memory that was freed for a model stays reserved for it.
    pub reservation_time: Duration,
    /// Assumed duration of an eviction, for comparing runners.
    pub eviction_time: Duration,
    /// Part of the comfortable rate: once no replica has to serve more, the memory left goes to replicas ahead of
    /// demand. A part below 1 leaves models in demand room to grow.
    pub headroom_share: f64,
    /// Maximum number of replicas of a model that gets some ahead of demand, from memory that demand leaves.
    pub max_headroom_replicas: u32,
    /// Minimum time that a model has surplus replicas before one is evicted for a replica ahead of demand.
    pub min_surplus_time: Duration,
    /// Part of the maximum number of loads from the weight store that replicas ahead of demand leave to others.
    pub headroom_reserve: f64,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            comfortable_utilisation: 0.6,
            min_residence: Duration::from_secs(3),
            hysteresis: 1.6,
            reservation_time: Duration::from_secs(4),
            eviction_time: Duration::from_secs(1),
            headroom_share: 0.45,
            max_headroom_replicas: 3,
            min_surplus_time: Duration::from_millis(1_500),
            headroom_reserve: 0.5,
        }
    }
}

/// Number of models and runners that a plan looked at, each time that it did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlanEffort {
    /// Models, to give out replicas.
    pub models: u64,
    /// Runners, to find one for a replica.
    pub runners: u64,
}

/// Proportional placement for one failure domain.
#[derive(Debug)]
pub struct SharePolicy {
    pub(super) settings: ShareSettings,
    bound: LoadBound,
    loads: LoadWindow,
    pub(super) residence: ResidenceTracker,
    pub(super) load_times: LoadTimes,
    headroom_weights: BTreeMap<Artifact, f64>,
    /// Time since which each model has more replicas than its demand and room to grow require.
    surplus_since: BTreeMap<Artifact, Instant>,
    /// Model that memory was freed for on each runner, and when the reservation expires.
    reservations: BTreeMap<BackendId, (Artifact, Instant)>,
    effort: PlanEffort,
}

impl SharePolicy {
    /// Creates a policy without any history.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            bound: LoadBound {
                window: Duration::ZERO,
                max_loads: 0,
            },
            loads: LoadWindow::default(),
            residence: ResidenceTracker::default(),
            load_times: LoadTimes::default(),
            headroom_weights: BTreeMap::new(),
            surplus_since: BTreeMap::new(),
            reservations: BTreeMap::new(),
            effort: PlanEffort::default(),
        }
    }

    /// Returns the work of the last plan.
    pub fn effort(&self) -> PlanEffort {
        self.effort
    }

    /// Sets the bound on loads from the weight store; before the first call no such load begins.
    pub fn set_bound(&mut self, bound: LoadBound) {
        self.bound = bound;
    }

    /// Begins a term as leader without an account from the former leader. Its recent loads are unknown, so none begins
    /// for the length of the window.
    pub fn begin_term(&mut self, now: Instant) {
        self.loads.block(now, self.bound);
        self.reservations.clear();
        self.residence.take_over();
    }

    /// Begins a term as leader with the former leader's account of its loads, which was read `age` ago.
    pub fn resume_term(&mut self, now: Instant, age: Duration, account: &LoadAccount) {
        self.loads.resume(now, age, account, self.bound);
        self.reservations.clear();
        self.residence.take_over();
    }

    /// Returns the account of the loads for a successor, or `None` while no bound is known.
    pub fn account(&mut self, now: Instant) -> Option<LoadAccount> {
        (self.bound.max_loads > 0).then(|| self.loads.account(now, self.bound))
    }

    /// Records that the last account was written to the log.
    pub fn confirm_account(&mut self) {
        self.loads.confirm_account();
    }

    /// Counts a load whose order got no answer.
    pub fn note_unconfirmed_load(&mut self, now: Instant) {
        self.loads.record_unconfirmed(now, self.bound);
    }

    /// Sets the models that get replicas ahead of demand, with their weights.
    pub fn set_headroom_weights(&mut self, weights: BTreeMap<Artifact, f64>) {
        self.headroom_weights = weights;
    }

    /// Sets the duration of loads.
    pub fn set_load_times(&mut self, load_times: LoadTimes) {
        self.load_times = load_times;
    }
}

/// Working state of one planning round.
pub(super) struct SharePlan<'a> {
    pub(super) now: Instant,
    pub(super) view: &'a DomainView,
    pub(super) counts: ReplicaCounts,
    /// Loads from the weight store that may still begin.
    pub(super) allowance: u32,
    /// Runners that already have a move or a reservation in this plan.
    pub(super) changed_runners: BTreeSet<BackendId>,
    /// Models that get replicas in this plan or have memory reserved.
    pub(super) growing: BTreeSet<Artifact>,
    pub(super) moves: Vec<PlannedMove>,
    pub(super) effort: PlanEffort,
}

impl<'a> SharePlan<'a> {
    fn usable_runners(&self) -> impl Iterator<Item = &'a RunnerView> + Clone + use<'a> {
        self.view.runners.iter().filter(|runner| !runner.is_unschedulable)
    }

    fn total_mib(&self) -> MemoryMib {
        let accelerators = self.usable_runners().flat_map(|runner| &runner.accelerators);
        accelerators.map(|accelerator| accelerator.capacity_mib).sum()
    }
}

impl PlacementPolicy for SharePolicy {
    fn plan(&mut self, now: Instant, view: &DomainView) -> Vec<PlannedMove> {
        self.residence.update(now, view);
        let allowance = self.loads.allowance(now, self.bound);
        let mut plan = SharePlan {
            now,
            view,
            counts: ReplicaCounts::new(view),
            allowance,
            changed_runners: BTreeSet::new(),
            growing: BTreeSet::new(),
            moves: Vec::new(),
            effort: PlanEffort::default(),
        };
        self.use_reservations(&mut plan);
        let mut targets = self.replicas_for_demand(&mut plan, 1.0);
        let ample_replicas = self.replicas_for_demand(&mut plan, self.settings.headroom_share);
        self.update_surplus(&plan, &ample_replicas);
        for (artifact, replicas) in self.targets_with_headroom(&mut plan, &ample_replicas) {
            if replicas > ample_replicas[&artifact] {
                targets.insert(artifact, replicas);
            }
        }
        let mut by_urgency: Vec<&Artifact> = targets.keys().collect();
        // Models without a replica come first regardless of demand, because every model has to be available.
        by_urgency.sort_by(|one, other| {
            let key = |artifact: &Artifact| {
                (
                    plan.counts.replicas(artifact) == 0,
                    plan.counts.rate_per_replica(artifact),
                )
            };
            let (one, other) = (key(one), key(other));
            other.0.cmp(&one.0).then_with(|| other.1.total_cmp(&one.1))
        });
        for artifact in by_urgency {
            while plan.counts.replicas(artifact) < targets[artifact] {
                if !self.add_replica(&mut plan, artifact, &targets) {
                    break;
                }
            }
        }
        self.effort = plan.effort;
        plan.moves
    }
}

impl SharePolicy {
    /// Returns the replicas that each model needs for each to serve at most `rate_share` of the comfortable rate, as
    /// far as memory allows.
    fn replicas_for_demand(&self, plan: &mut SharePlan<'_>, rate_share: f64) -> BTreeMap<Artifact, u32> {
        let usable = plan.usable_runners();
        let capacities = usable.clone().map(|runner| f64::from(runner.request_capacity));
        let comfortable_rate = capacities.fold(0.0, f64::max) * self.settings.comfortable_utilisation * rate_share;
        let (targets, steps) = plan
            .counts
            .target_replicas(plan.total_mib(), usable.count() as u32, comfortable_rate);
        plan.effort.models += steps;
        targets
    }

    /// Adds replicas ahead of demand to `demanded`, from the memory that it leaves.
    fn targets_with_headroom(
        &self,
        plan: &mut SharePlan<'_>,
        demanded: &BTreeMap<Artifact, u32>,
    ) -> BTreeMap<Artifact, u32> {
        let (targets, steps) = plan.counts.add_headroom(
            demanded.clone(),
            plan.total_mib(),
            &self.headroom_weights,
            self.settings.max_headroom_replicas,
        );
        plan.effort.models += steps;
        targets
    }

    fn update_surplus(&mut self, plan: &SharePlan<'_>, demanded: &BTreeMap<Artifact, u32>) {
        self.surplus_since.retain(|artifact, _| {
            demanded
                .get(artifact)
                .is_some_and(|target| plan.counts.replicas(artifact) > *target)
        });
        for (artifact, target) in demanded {
            if plan.counts.replicas(artifact) > *target {
                self.surplus_since.entry(artifact.clone()).or_insert(plan.now);
            }
        }
    }

    /// Returns whether the next replica of a model would be one ahead of demand.
    pub(super) fn is_headroom(&self, plan: &SharePlan<'_>, artifact: &Artifact) -> bool {
        self.headroom_weights.contains_key(artifact) && plan.counts.replicas(artifact) > 0
    }

    pub(super) fn has_stable_surplus(&self, plan: &SharePlan<'_>, artifact: &Artifact) -> bool {
        let since = self.surplus_since.get(artifact);
        since.is_some_and(|since| plan.now.saturating_duration_since(*since) >= self.settings.min_surplus_time)
    }

    /// Counts the replicas that memory is reserved for, and plans the loads of those for which it is free.
    fn use_reservations(&mut self, plan: &mut SharePlan<'_>) {
        let now = plan.now;
        self.reservations.retain(|_, (_, until)| now < *until);
        for (backend, (artifact, _)) in self.reservations.clone() {
            let runner = plan.view.runners.iter().find(|runner| runner.backend == backend);
            let Some(runner) = runner.filter(|runner| !runner.is_unschedulable && !holds(runner, &artifact)) else {
                self.reservations.remove(&backend);
                continue;
            };
            plan.counts.add(&artifact);
            plan.growing.insert(artifact.clone());
            plan.changed_runners.insert(backend.clone());
            let has_room = free_mib(runner) >= plan.counts.memory_mib(&artifact);
            if is_idle(runner) && has_room && self.spend_load(plan, &backend, &artifact) {
                self.reservations.remove(&backend);
                plan.moves
                    .push(load_move(runner, &artifact, plan.counts.memory_mib(&artifact)));
            }
        }
    }

    fn add_replica(
        &mut self,
        plan: &mut SharePlan<'_>,
        artifact: &Artifact,
        targets: &BTreeMap<Artifact, u32>,
    ) -> bool {
        plan.effort.runners += plan.view.runners.len() as u64;
        let candidates = plan
            .view
            .runners
            .iter()
            .filter(|runner| is_idle(runner) && !runner.is_unschedulable && !holds(runner, artifact))
            .filter(|runner| !plan.changed_runners.contains(&runner.backend))
            .filter(|runner| runner.takes(plan.counts.rate(artifact)))
            .filter(|runner| self.may_load(plan, &runner.backend, artifact))
            .filter_map(|runner| self.candidate(plan, runner, artifact, targets));
        let best = candidates.min_by(|one, other| one.cost_s.total_cmp(&other.cost_s));
        let Some(ReplicaCandidate { runner, victims, .. }) = best else {
            return false;
        };
        plan.changed_runners.insert(runner.backend.clone());
        plan.counts.add(artifact);
        plan.growing.insert(artifact.clone());
        let Some(victim) = victims.first() else {
            let is_allowed = self.spend_load(plan, &runner.backend, artifact);
            if is_allowed {
                plan.moves
                    .push(load_move(runner, artifact, plan.counts.memory_mib(artifact)));
            }
            return is_allowed;
        };
        // A runner executes one order at a time, so further evictions and the load itself follow in later plans.
        plan.counts.remove(victim);
        let until = plan.now + self.settings.reservation_time;
        self.reservations
            .insert(runner.backend.clone(), (artifact.clone(), until));
        plan.moves.push(PlannedMove::Unload {
            backend: runner.backend.clone(),
            accelerator: 0,
            artifact: victim.clone(),
        });
        true
    }

    fn may_load(&self, plan: &SharePlan<'_>, backend: &BackendId, artifact: &Artifact) -> bool {
        let reserve = if self.is_headroom(plan, artifact) {
            (f64::from(self.bound.max_loads) * self.settings.headroom_reserve) as u32
        } else {
            0
        };
        plan.allowance > reserve || self.load_times.cached_load_time(backend, artifact).is_some()
    }

    fn spend_load(&mut self, plan: &mut SharePlan<'_>, backend: &BackendId, artifact: &Artifact) -> bool {
        if self.load_times.cached_load_time(backend, artifact).is_some() {
            return true;
        }
        if plan.allowance == 0 {
            return false;
        }
        plan.allowance -= 1;
        self.loads.record(plan.now, self.bound);
        true
    }
}

fn load_move(runner: &RunnerView, artifact: &Artifact, memory_mib: MemoryMib) -> PlannedMove {
    PlannedMove::Load {
        backend: runner.backend.clone(),
        accelerator: 0,
        artifact: artifact.clone(),
        memory_mib,
    }
}

fn holds(runner: &RunnerView, artifact: &Artifact) -> bool {
    let mut holdings = runner.accelerators.iter().flat_map(|accelerator| &accelerator.holdings);
    holdings.any(|holding| holding.artifact == *artifact)
}

/// Returns whether no load or unload is in progress at a runner.
fn is_idle(runner: &RunnerView) -> bool {
    let mut holdings = runner.accelerators.iter().flat_map(|accelerator| &accelerator.holdings);
    holdings.all(|holding| holding.state == HoldingState::Resident)
}

pub(super) fn free_mib(runner: &RunnerView) -> MemoryMib {
    runner.accelerators.iter().map(AcceleratorView::free_mib).sum()
}
