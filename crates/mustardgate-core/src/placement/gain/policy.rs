//! The policy itself: base replicas first, then the moves with the largest net gain.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    budget::LoadBudget,
    evict::{EvictionUnit, ReplicaPlace, ResidenceBook, answering_replicas, eviction_units},
    flow::FlowModel,
    load_times::LoadTimes,
    state::{PlanState, SlotPosition, base_slots, free_by_slot},
};
use crate::{
    log::Artifact,
    placement::{ArtifactDemand, DomainView, PlacementPolicy, PlannedMove},
};

/// Settings of [`GainPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GainSettings {
    /// Time over which a move has to pay for itself.
    pub horizon: Duration,
    /// Time for which a replica stays before it may give way.
    pub min_residence: Duration,
    /// Net gain wanted, relative to the price of the moves.
    pub hysteresis: f64,
    /// Time for which a request takes a place in a runner's batch.
    pub mean_hold: Duration,
    /// This domain's share of the limits of the weight store and of adapter loads.
    pub domain_share: f64,
    /// Moves proposed at once.
    pub max_moves: usize,
}

impl Default for GainSettings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(60),
            min_residence: Duration::from_secs(60),
            hysteresis: 0.5,
            mean_hold: Duration::from_secs(1),
            domain_share: 1.0,
            max_moves: 8,
        }
    }
}

/// Replicas in other domains, as their digests tell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemoteReplicas {
    /// Base replicas that answer; others do not count, because their domain may give them up at the same moment.
    pub answering: u32,
    /// Mean utilisation of the runners that hold them, from 0 to 1 and above.
    pub utilisation: f64,
}

/// Placement by marginal gain for one failure domain.
#[derive(Clone, Debug)]
pub struct GainPolicy {
    settings: GainSettings,
    residence: ResidenceBook,
    budget: LoadBudget,
    remote: BTreeMap<Artifact, RemoteReplicas>,
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
        let remote = |artifact: &Artifact| self.remote.get(artifact).map(|replicas| replicas.utilisation);
        let hold_s = self.settings.mean_hold.as_secs_f64();
        let mut state = PlanState {
            now,
            view,
            flow: FlowModel::new(view, hold_s, remote),
            allowance,
            load_times: Arc::clone(&self.load_times),
            free_mib: free_by_slot(view),
            touched: BTreeSet::new(),
            moves: Vec::new(),
            unloaded: BTreeMap::new(),
        };
        self.ensure_base(&mut state);
        while state.moves.len() < self.settings.max_moves {
            let Some(best) = self.best_candidate(&state) else { break };
            self.propose(&mut state, best.demand, best.slot, &best.victims);
        }
        state.moves
    }
}

impl GainPolicy {
    /// Creates a policy that has seen nothing.
    pub fn new(settings: GainSettings) -> Self {
        Self {
            settings,
            residence: ResidenceBook::default(),
            budget: LoadBudget::new(settings.domain_share),
            remote: BTreeMap::new(),
            load_times: Arc::default(),
        }
    }

    /// Takes the times of loads. A replica brings its gain only once it is loaded, so one that a runner has a copy of
    /// is worth more there.
    pub fn set_load_times(&mut self, load_times: LoadTimes) {
        self.load_times = Arc::new(load_times);
    }

    /// Takes what other domains hold. Without it a replica that is the only one in this domain never gives way.
    pub fn set_remote(&mut self, remote: BTreeMap<Artifact, RemoteReplicas>) {
        self.remote = remote;
    }

    fn ensure_base(&mut self, state: &mut PlanState<'_>) {
        let view = state.view;
        // Models come before their adapters, which need them.
        let ordered = view.demands.iter().filter(|demand| demand.artifact.adapter.is_none());
        let adapters = view.demands.iter().filter(|demand| demand.artifact.adapter.is_some());
        for demand in ordered.chain(adapters) {
            for slot in base_slots(view, demand) {
                if state.moves.len() >= self.settings.max_moves {
                    return;
                }
                if state.is_held(demand, slot) || !state.is_permitted(demand, slot) {
                    continue;
                }
                let Some(victims) = self.victims(state, demand, slot, true) else {
                    continue;
                };
                if victims.is_empty() || !state.touched.contains(&slot) {
                    self.propose(state, demand, slot, &victims);
                }
            }
        }
    }

    fn best_candidate<'a>(&self, state: &PlanState<'a>) -> Option<Candidate<'a>> {
        let mut best: Option<Candidate<'a>> = None;
        for demand in &state.view.demands {
            let group = group_of(state.view, demand);
            if !group.iter().any(|artifact| state.flow.is_strained(artifact)) {
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
        if state.is_held_by_runner(demand, slot) || !state.is_permitted(demand, slot) || state.touched.contains(&slot) {
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
        let victims = self.victims(state, demand, slot, false)?;
        let unloads: usize = victims.iter().map(|unit| unit.artifacts.len()).sum();
        let lost: f64 = victims
            .iter()
            .map(|unit| state.flow.loss_of_removing(&unit.artifacts, slot.runner) * horizon_s)
            .sum();
        let prices = price * (1 + unloads) as f64;
        let net_gain = gain - prices - lost;
        (net_gain > self.settings.hysteresis * prices).then_some(Candidate {
            demand,
            slot,
            victims,
            net_gain,
        })
    }

    /// Returns what has to go to make room, nothing if there is room, or `None` when room cannot be made.
    fn victims(
        &self,
        state: &PlanState<'_>,
        demand: &ArtifactDemand,
        slot: SlotPosition,
        is_base: bool,
    ) -> Option<Vec<EvictionUnit>> {
        let mut missing = demand.memory_mib.saturating_sub(state.free_mib[&slot]);
        let mut victims: Vec<EvictionUnit> = Vec::new();
        if missing == 0 {
            return Some(victims);
        }
        let holdings = &state.view.runners[slot.runner].accelerators[slot.accelerator].holdings;
        let mut units = eviction_units(holdings);
        units.retain(|unit| {
            !unit.artifacts.contains(&model_of(&demand.artifact)) && self.may_give_way(state, unit, slot, is_base)
        });
        let loss = |unit: &EvictionUnit| state.flow.loss_of_removing(&unit.artifacts, slot.runner);
        units.sort_by(|left, right| {
            let by_loss = loss(left).total_cmp(&loss(right));
            by_loss.then_with(|| right.memory_mib.cmp(&left.memory_mib))
        });
        for unit in units {
            if missing == 0 {
                break;
            }
            let is_covered = |artifact: &Artifact| victims.iter().any(|taken| taken.artifacts.contains(artifact));
            if unit.artifacts.iter().any(is_covered) {
                continue;
            }
            missing = missing.saturating_sub(unit.memory_mib);
            victims.push(unit);
        }
        (missing == 0).then_some(victims)
    }

    /// Never the last answering replica, never a base replica, and nothing before its minimum residence unless a base
    /// replica needs the room.
    fn may_give_way(&self, state: &PlanState<'_>, unit: &EvictionUnit, slot: SlotPosition, is_base: bool) -> bool {
        unit.artifacts.iter().all(|artifact| {
            let place = state.place(slot, artifact);
            let is_settled = is_base
                || self
                    .residence
                    .has_stayed(state.now, &place, self.settings.min_residence);
            let gone = state.unloaded.get(artifact).copied().unwrap_or_default();
            let here = answering_replicas(state.view, artifact).saturating_sub(gone);
            let elsewhere = self.remote.get(artifact).map_or(0, |remote| remote.answering as usize);
            is_settled && here + elsewhere >= 2 && !state.is_base_place(artifact, slot)
        })
    }

    /// Proposes the load, or the unloads that make room for it; the load then follows in a later plan.
    fn propose(
        &mut self,
        state: &mut PlanState<'_>,
        demand: &ArtifactDemand,
        slot: SlotPosition,
        victims: &[EvictionUnit],
    ) {
        state.touched.insert(slot);
        for artifact in victims.iter().flat_map(|unit| &unit.artifacts) {
            let ReplicaPlace {
                backend,
                accelerator,
                artifact,
            } = state.place(slot, artifact);
            state.flow.set_replica(&artifact, slot.runner, false);
            *state.unloaded.entry(artifact.clone()).or_default() += 1;
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
        } else if self.load_times.copy_time(&place.backend, &demand.artifact).is_none() {
            state.allowance.models -= 1;
            self.budget.spend_model();
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

/// Returns the artifacts whose demand a replica serves: a model's replica serves its adapters too, which follow at
/// little cost.
fn group_of(view: &DomainView, demand: &ArtifactDemand) -> Vec<Artifact> {
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
