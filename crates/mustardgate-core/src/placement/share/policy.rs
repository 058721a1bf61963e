//! The proportional placement policy.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{
    round::{PlanEffort, PlanRound},
    rows::{ModelIndex, ModelRow, RunnerIndex},
    targets::MemoryPool,
    window::{LoadAccount, LoadBound, LoadWindow},
};
use crate::{
    ids::BackendId,
    log::Artifact,
    placement::{
        ArtifactDemand, DomainView, PlacementPolicy, PlannedMove,
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

impl SharePolicy {
    /// Returns the loads from the weight store that may begin now.
    pub(super) fn load_allowance(&mut self, now: Instant) -> u32 {
        self.loads.allowance(now, self.bound)
    }

    /// Returns a declared model before its replicas are counted.
    pub(super) fn model_row<'a>(&self, demand: &'a ArtifactDemand) -> ModelRow<'a> {
        let artifact = &demand.artifact;
        let store_load = self.load_times.from_store.get(artifact);
        ModelRow {
            artifact,
            is_declared: true,
            rate: demand.requests_per_second,
            memory_mib: demand.memory_mib,
            replicas: 0,
            ready: 0,
            headroom_weight: self.headroom_weights.get(artifact).copied(),
            has_stable_surplus: false,
            is_growing: false,
            store_load_s: store_load.copied().unwrap_or_default().as_secs_f64(),
        }
    }
}

impl PlacementPolicy for SharePolicy {
    fn plan(&mut self, now: Instant, view: &DomainView) -> Vec<PlannedMove> {
        self.residence.update(now, view);
        let mut round = PlanRound::new(self, now, view);
        self.use_reservations(&mut round);
        let targets = self.target_replicas(&mut round);
        round.rank_runners(&self.settings, &targets);
        for model in models_by_urgency(&round) {
            while round.rows.models[model].replicas < targets[model] {
                if !self.add_replica(&mut round, model, &targets) {
                    break;
                }
            }
        }
        self.effort = round.effort;
        round.moves
    }
}

/// Returns the declared models in the order in which they get replicas. Models without a replica come first regardless
/// of demand, because every model has to be available.
fn models_by_urgency(round: &PlanRound<'_>) -> Vec<ModelIndex> {
    let models = &round.rows.models;
    let key = |model: &ModelIndex| (models[*model].replicas == 0, models[*model].rate_per_replica());
    let mut by_urgency: Vec<ModelIndex> = (0..round.rows.declared).collect();
    by_urgency.sort_by(|one, other| {
        let (one, other) = (key(one), key(other));
        other.0.cmp(&one.0).then_with(|| other.1.total_cmp(&one.1))
    });
    by_urgency
}

impl SharePolicy {
    /// Returns the replicas that each declared model is to have: those for its demand, and ahead of demand from the
    /// memory that ample ones leave.
    fn target_replicas(&mut self, round: &mut PlanRound<'_>) -> Vec<u32> {
        let declared = &round.rows.models[..round.rows.declared];
        let usable = round.rows.usable_runners();
        let capacities = usable.map(|runner| f64::from(runner.view.request_capacity));
        let comfortable_rate = capacities.fold(0.0, f64::max) * self.settings.comfortable_utilisation;
        let ample_rate = comfortable_rate * self.settings.headroom_share;
        let max_replicas = round.rows.usable_runners().count() as u32;
        let mut pool = MemoryPool::new(round.rows.total_mib());
        let mut targets = pool.target_replicas(declared, max_replicas, comfortable_rate);
        let ample = pool.target_replicas(declared, max_replicas, ample_rate);
        let mut with_headroom = ample.clone();
        pool.add_headroom(declared, &mut with_headroom, self.settings.max_headroom_replicas);
        for (target, (ample, with_headroom)) in targets.iter_mut().zip(ample.iter().zip(&with_headroom)) {
            if with_headroom > ample {
                *target = *with_headroom;
            }
        }
        round.effort.models += pool.steps;
        self.update_surplus(round, &ample);
        targets
    }

    fn update_surplus(&mut self, round: &mut PlanRound<'_>, ample: &[u32]) {
        let models = round.rows.models.iter_mut().zip(ample);
        let mut surplus_since = BTreeMap::new();
        for (row, _) in models.filter(|(row, target)| row.replicas > **target) {
            let (artifact, since) = self
                .surplus_since
                .remove_entry(row.artifact)
                .unwrap_or_else(|| (row.artifact.clone(), round.now));
            let surplus_time = round.now.saturating_duration_since(since);
            row.has_stable_surplus = surplus_time >= self.settings.min_surplus_time;
            surplus_since.insert(artifact, since);
        }
        self.surplus_since = surplus_since;
    }

    /// Counts the replicas that memory is reserved for, and plans the loads of those for which it is free.
    fn use_reservations(&mut self, round: &mut PlanRound<'_>) {
        let now = round.now;
        self.reservations.retain(|_, (_, until)| now < *until);
        for (backend, (artifact, _)) in self.reservations.clone() {
            let model = round.rows.model_index(&artifact);
            let runner = round.rows.runner_index(&backend).filter(|runner| {
                let row = &round.rows.runners[*runner];
                !row.view.is_unschedulable && !model.is_some_and(|model| row.holds(model))
            });
            let Some(runner) = runner else {
                self.reservations.remove(&backend);
                continue;
            };
            round.take(runner);
            // A model that is no longer declared keeps its reservation until it ends, and needs no memory.
            let memory_mib = model.map_or(0, |model| round.rows.models[model].memory_mib);
            if let Some(model) = model {
                let row = &mut round.rows.models[model];
                row.add_replica();
                row.is_growing = true;
            }
            let row = &round.rows.runners[runner];
            if row.is_idle && row.free_mib >= memory_mib && self.spend_load(round, runner, model) {
                self.reservations.remove(&backend);
                round.moves.push(PlannedMove::Load {
                    backend,
                    accelerator: 0,
                    artifact,
                    memory_mib,
                });
            }
        }
    }

    fn add_replica(&mut self, round: &mut PlanRound<'_>, model: ModelIndex, targets: &[u32]) -> bool {
        let has_reserve = round.allowance > self.reserved_loads(round, model);
        let Some(best) = round.best_candidate(&self.settings, model, targets, has_reserve) else {
            return false;
        };
        let (runner, victim) = (best.runner, best.victim);
        let backend = round.rows.runners[runner].view.backend.clone();
        round.take(runner);
        let row = &mut round.rows.models[model];
        row.add_replica();
        row.is_growing = true;
        let (artifact, memory_mib) = (row.artifact.clone(), row.memory_mib);
        let Some(victim) = victim else {
            let is_allowed = self.spend_load(round, runner, Some(model));
            if is_allowed {
                round.moves.push(PlannedMove::Load {
                    backend,
                    accelerator: 0,
                    artifact,
                    memory_mib,
                });
            }
            return is_allowed;
        };
        // A runner executes one order at a time, so further evictions and the load itself follow in later plans.
        let victim = &mut round.rows.models[victim];
        victim.remove_replica();
        let until = round.now + self.settings.reservation_time;
        self.reservations.insert(backend.clone(), (artifact, until));
        round.moves.push(PlannedMove::Unload {
            backend,
            accelerator: 0,
            artifact: victim.artifact.clone(),
        });
        true
    }

    /// Returns the loads from the weight store that the next replica of a model leaves to others.
    fn reserved_loads(&self, round: &PlanRound<'_>, model: ModelIndex) -> u32 {
        if !round.rows.models[model].is_headroom() {
            return 0;
        }
        (f64::from(self.bound.max_loads) * self.settings.headroom_reserve) as u32
    }

    /// Returns whether a load may begin, and counts it if it comes from the weight store.
    fn spend_load(&mut self, round: &mut PlanRound<'_>, runner: RunnerIndex, model: Option<ModelIndex>) -> bool {
        let row = &round.rows.runners[runner];
        if model.is_some_and(|model| row.copy_load_s(model).is_some()) {
            return true;
        }
        if round.allowance == 0 {
            return false;
        }
        round.allowance -= 1;
        self.loads.record(round.now, self.bound);
        true
    }
}
