//! The placement policy by marginal gain: plans base replicas first, then the moves with the largest net gain.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    budget::LoadBudget,
    evict::{EvictionUnit, ReplicaPlace, ResidenceTracker, eviction_units, ready_replicas},
    flow::FlowModel,
    load_times::LoadTimes,
    state::{PlanState, SlotPosition, base_slots, free_memory_by_slot},
};
use crate::{
    log::Artifact,
    placement::{ArtifactDemand, DomainView, PlacementPolicy, PlannedMove},
};

/// Settings of [`GainPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GainSettings {
    /// Time within which the gain of a move has to exceed its price.
    pub horizon: Duration,
    /// Minimum time that a replica stays resident before it may be evicted.
    pub min_residence: Duration,
    /// Minimum net gain of a move, relative to the price of the loads and unloads that it needs.
    pub hysteresis: f64,
    /// Mean time that a request spends in a runner's batch.
    pub mean_batch_time: Duration,
    /// Share of this domain in the limits that the view's policy sets on loads; 1 if they are already the domain's own.
    pub domain_share: f64,
    /// Number of moves after which a plan is complete.
    pub max_moves: usize,
}

impl Default for GainSettings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(60),
            min_residence: Duration::from_secs(60),
            hysteresis: 0.5,
            mean_batch_time: Duration::from_secs(1),
            domain_share: 1.0,
            max_moves: 8,
        }
    }
}

/// Replicas of an artifact in other domains, according to the reports of the runners there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemoteReplicas {
    /// Base replicas that serve requests; others do not count, because their domain may evict them at the same moment.
    pub ready: u32,
    /// Mean utilisation of the runners that hold them, from 0 to 1 and above.
    pub utilisation: f64,
}

/// Placement by marginal gain for one failure domain.
#[derive(Clone, Debug)]
pub struct GainPolicy {
    settings: GainSettings,
    residence: ResidenceTracker,
    budget: LoadBudget,
    remote_replicas: BTreeMap<Artifact, RemoteReplicas>,
    load_times: Arc<LoadTimes>,
}

#[derive(Debug)]
struct Candidate<'a> {
    demand: &'a ArtifactDemand,
    slot: SlotPosition,
    victims: Vec<EvictionUnit>,
    net_gain: f64,
}

impl PlacementPolicy for GainPolicy {
    fn plan(&mut self, now: Instant, view: &DomainView) -> Vec<PlannedMove> {
        self.residence.update(now, view);
        let allowance = self.budget.allowance(
            now,
            &view.policy,
            view.model_loads_in_flight,
            view.adapter_loads_in_flight,
        );
        let remote_utilisation =
            |artifact: &Artifact| self.remote_replicas.get(artifact).map(|replicas| replicas.utilisation);
        let batch_time_s = self.settings.mean_batch_time.as_secs_f64();
        let mut state = PlanState {
            now,
            view,
            flow: FlowModel::new(view, batch_time_s, remote_utilisation),
            allowance,
            load_times: Arc::clone(&self.load_times),
            free_mib: free_memory_by_slot(view),
            changed_slots: BTreeSet::new(),
            moves: Vec::new(),
            unload_counts: BTreeMap::new(),
        };
        self.plan_base_replicas(&mut state);
        while state.moves.len() < self.settings.max_moves {
            let Some(best) = self.best_candidate(&state) else { break };
            self.propose(&mut state, best.demand, best.slot, &best.victims);
        }
        state.moves
    }
}

impl GainPolicy {
    /// Creates a policy without any history.
    pub fn new(settings: GainSettings) -> Self {
        Self {
            settings,
            residence: ResidenceTracker::default(),
            budget: LoadBudget::new(settings.domain_share),
            remote_replicas: BTreeMap::new(),
            load_times: Arc::default(),
        }
    }

    /// Sets the duration of loads. A replica brings a gain only once it is loaded, so it gains more on a runner that
    /// has cached the weights.
    pub fn set_load_times(&mut self, load_times: LoadTimes) {
        self.load_times = Arc::new(load_times);
    }

    /// Sets the replicas in other domains. Without them the only replica in this domain is never evicted.
    pub fn set_remote_replicas(&mut self, remote_replicas: BTreeMap<Artifact, RemoteReplicas>) {
        self.remote_replicas = remote_replicas;
    }

    fn plan_base_replicas(&mut self, state: &mut PlanState<'_>) {
        let view = state.view;
        // Adapters can only be loaded next to their model, so models come first.
        let models = view.demands.iter().filter(|demand| demand.artifact.adapter.is_none());
        let adapters = view.demands.iter().filter(|demand| demand.artifact.adapter.is_some());
        for demand in models.chain(adapters) {
            for slot in base_slots(view, demand) {
                if state.moves.len() >= self.settings.max_moves {
                    return;
                }
                if state.is_held_by_slot(demand, slot) || !state.is_permitted(demand, slot) {
                    continue;
                }
                let Some(victims) = self.choose_victims(state, demand, slot, true) else {
                    continue;
                };
                if victims.is_empty() || !state.changed_slots.contains(&slot) {
                    self.propose(state, demand, slot, &victims);
                }
            }
        }
    }

    fn best_candidate<'a>(&self, state: &PlanState<'a>) -> Option<Candidate<'a>> {
        let mut best: Option<Candidate<'a>> = None;
        for demand in &state.view.demands {
            let group = demand_group(state.view, demand);
            if !group.iter().any(|artifact| state.flow.has_late_requests(artifact)) {
                continue;
            }
            for slot in state.free_mib.keys().copied() {
                let Some(candidate) = self.evaluate(state, demand, &group, slot) else {
                    continue;
                };
                if best.as_ref().is_none_or(|best| candidate.net_gain > best.net_gain) {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    fn evaluate<'a>(
        &self,
        state: &PlanState<'a>,
        demand: &'a ArtifactDemand,
        group: &[Artifact],
        slot: SlotPosition,
    ) -> Option<Candidate<'a>> {
        if state.is_held_by_runner(demand, slot)
            || !state.is_permitted(demand, slot)
            || state.changed_slots.contains(&slot)
        {
            return None;
        }
        let backend = &state.view.runners[slot.runner].backend;
        let load_time = self.load_times.load_time(backend, &demand.artifact);
        let horizon_s = self.settings.horizon.saturating_sub(load_time).as_secs_f64();
        let gain = state.flow.gain_of_adding(group, slot.runner) * horizon_s;
        let price = state.view.policy.move_price;
        if gain <= price * (1.0 + self.settings.hysteresis) {
            return None;
        }
        let victims = self.choose_victims(state, demand, slot, false)?;
        let unloads: usize = victims.iter().map(|unit| unit.artifacts.len()).sum();
        let loss: f64 = victims
            .iter()
            .map(|unit| state.flow.loss_of_removing(&unit.artifacts, slot.runner) * horizon_s)
            .sum();
        let total_price = price * (1 + unloads) as f64;
        let net_gain = gain - total_price - loss;
        (net_gain > self.settings.hysteresis * total_price).then_some(Candidate {
            demand,
            slot,
            victims,
            net_gain,
        })
    }

    /// Returns what to evict to make room: nothing if there is enough, or `None` if not enough can be evicted.
    fn choose_victims(
        &self,
        state: &PlanState<'_>,
        demand: &ArtifactDemand,
        slot: SlotPosition,
        is_for_base: bool,
    ) -> Option<Vec<EvictionUnit>> {
        let mut missing_mib = demand.memory_mib.saturating_sub(state.free_mib[&slot]);
        let mut victims: Vec<EvictionUnit> = Vec::new();
        if missing_mib == 0 {
            return Some(victims);
        }
        let holdings = &state.view.runners[slot.runner].accelerators[slot.accelerator].holdings;
        let mut units = eviction_units(holdings);
        units.retain(|unit| {
            !unit.artifacts.contains(&model_of(&demand.artifact)) && self.is_evictable(state, unit, slot, is_for_base)
        });
        let loss = |unit: &EvictionUnit| state.flow.loss_of_removing(&unit.artifacts, slot.runner);
        units.sort_by(|left, right| {
            let by_loss = loss(left).total_cmp(&loss(right));
            by_loss.then_with(|| right.memory_mib.cmp(&left.memory_mib))
        });
        for unit in units {
            if missing_mib == 0 {
                break;
            }
            let is_chosen = |artifact: &Artifact| victims.iter().any(|victim| victim.artifacts.contains(artifact));
            if unit.artifacts.iter().any(is_chosen) {
                continue;
            }
            missing_mib = missing_mib.saturating_sub(unit.memory_mib);
            victims.push(unit);
        }
        (missing_mib == 0).then_some(victims)
    }

    /// Returns whether a unit may be evicted: no base replica, not the last replica that serves requests, and only
    /// after its minimum residence or to make room for a base replica.
    fn is_evictable(&self, state: &PlanState<'_>, unit: &EvictionUnit, slot: SlotPosition, is_for_base: bool) -> bool {
        unit.artifacts.iter().all(|artifact| {
            let place = state.place(slot, artifact);
            let is_settled = is_for_base
                || self
                    .residence
                    .has_stayed(state.now, &place, self.settings.min_residence);
            let unloading = state.unload_counts.get(artifact).copied().unwrap_or_default();
            let local = ready_replicas(state.view, artifact).saturating_sub(unloading);
            let remote = self
                .remote_replicas
                .get(artifact)
                .map_or(0, |replicas| replicas.ready as usize);
            is_settled && local + remote >= 2 && !state.is_base_replica(artifact, slot)
        })
    }

    /// Adds the load to the plan, or the unloads that make room for it; the load then follows in a later plan.
    fn propose(
        &mut self,
        state: &mut PlanState<'_>,
        demand: &ArtifactDemand,
        slot: SlotPosition,
        victims: &[EvictionUnit],
    ) {
        state.changed_slots.insert(slot);
        for artifact in victims.iter().flat_map(|unit| &unit.artifacts) {
            let ReplicaPlace {
                backend,
                accelerator,
                artifact,
            } = state.place(slot, artifact);
            state.flow.set_replica(&artifact, slot.runner, false);
            *state.unload_counts.entry(artifact.clone()).or_default() += 1;
            state.moves.push(PlannedMove::Unload {
                backend,
                accelerator,
                artifact,
            });
        }
        state.flow.set_replica(&demand.artifact, slot.runner, true);
        if !victims.is_empty() {
            return;
        }
        let place = state.place(slot, &demand.artifact);
        if demand.artifact.adapter.is_some() {
            state.allowance.adapters -= 1;
        } else if self
            .load_times
            .cached_load_time(&place.backend, &demand.artifact)
            .is_none()
        {
            state.allowance.models -= 1;
            self.budget.spend_model_load();
        }
        if let Some(free) = state.free_mib.get_mut(&slot) {
            *free = free.saturating_sub(demand.memory_mib);
        }
        state.moves.push(PlannedMove::Load {
            backend: place.backend,
            accelerator: place.accelerator,
            artifact: place.artifact,
            memory_mib: demand.memory_mib,
        });
    }
}

/// Returns the artifacts whose demand a replica can serve. A replica of a model also counts for the adapters of the
/// model, which can be loaded next to it at little cost.
fn demand_group(view: &DomainView, demand: &ArtifactDemand) -> Vec<Artifact> {
    let is_model = demand.artifact.adapter.is_none();
    view.demands
        .iter()
        .map(|other| &other.artifact)
        .filter(|other| **other == demand.artifact || is_model && other.model == demand.artifact.model)
        .cloned()
        .collect()
}

fn model_of(artifact: &Artifact) -> Artifact {
    Artifact {
        adapter: None,
        ..artifact.clone()
    }
}
