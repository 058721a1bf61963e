//! Working state of one planning round: the view, the limits left, and the moves planned so far.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use super::{budget::LoadAllowance, evict::ReplicaPlace, flow::FlowModel, load_times::LoadTimes};
use crate::{
    ids::{AcceleratorIndex, MemoryMib},
    log::Artifact,
    placement::{ArtifactDemand, BaseAssignment, DomainView, HoldingState, PlannedMove},
};

/// One accelerator by its position in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SlotPosition {
    pub(super) runner: usize,
    pub(super) accelerator: usize,
}

/// Working state of one planning round.
#[derive(Debug)]
pub(super) struct PlanState<'a> {
    pub(super) now: Instant,
    pub(super) view: &'a DomainView,
    pub(super) flow: FlowModel,
    pub(super) allowance: LoadAllowance,
    pub(super) load_times: Arc<LoadTimes>,
    pub(super) free_mib: BTreeMap<SlotPosition, MemoryMib>,
    /// Accelerators that already have a move in this plan.
    pub(super) changed_slots: BTreeSet<SlotPosition>,
    pub(super) moves: Vec<PlannedMove>,
    /// Replicas of each artifact that this plan unloads.
    pub(super) unload_counts: BTreeMap<Artifact, usize>,
}

impl PlanState<'_> {
    pub(super) fn place(&self, slot: SlotPosition, artifact: &Artifact) -> ReplicaPlace {
        ReplicaPlace {
            backend: self.view.runners[slot.runner].backend.clone(),
            accelerator: slot.accelerator as AcceleratorIndex,
            artifact: artifact.clone(),
        }
    }

    pub(super) fn is_held_by_slot(&self, demand: &ArtifactDemand, slot: SlotPosition) -> bool {
        self.view.runners[slot.runner].accelerators[slot.accelerator]
            .holdings
            .iter()
            .any(|holding| holding.artifact == demand.artifact)
    }

    pub(super) fn is_held_by_runner(&self, demand: &ArtifactDemand, slot: SlotPosition) -> bool {
        let count = self.view.runners[slot.runner].accelerators.len();
        (0..count).any(|accelerator| self.is_held_by_slot(demand, SlotPosition { accelerator, ..slot }))
    }

    /// Returns whether the limits allow a load now. An adapter also needs its model resident on the same accelerator.
    pub(super) fn is_permitted(&self, demand: &ArtifactDemand, slot: SlotPosition) -> bool {
        if self.view.runners[slot.runner].is_unschedulable {
            return false;
        }
        if demand.artifact.adapter.is_none() {
            let backend = &self.view.runners[slot.runner].backend;
            let is_cached = self.load_times.cached_load_time(backend, &demand.artifact).is_some();
            return is_cached || self.allowance.models > 0;
        }
        let holdings = &self.view.runners[slot.runner].accelerators[slot.accelerator].holdings;
        let is_model_resident = holdings.iter().any(|holding| {
            holding.artifact.adapter.is_none()
                && holding.artifact.model == demand.artifact.model
                && holding.state == HoldingState::Resident
        });
        self.allowance.adapters > 0 && is_model_resident
    }

    pub(super) fn is_base_replica(&self, artifact: &Artifact, slot: SlotPosition) -> bool {
        let place = self.place(slot, artifact);
        self.view
            .demands
            .iter()
            .filter(|demand| demand.artifact == *artifact)
            .flat_map(|demand| &demand.base_assignments)
            .any(|base| base.backend == place.backend && base.accelerator == place.accelerator)
    }
}

pub(super) fn free_memory_by_slot(view: &DomainView) -> BTreeMap<SlotPosition, MemoryMib> {
    let mut free = BTreeMap::new();
    for (runner, runner_view) in view.runners.iter().enumerate() {
        for (accelerator, accelerator_view) in runner_view.accelerators.iter().enumerate() {
            free.insert(SlotPosition { runner, accelerator }, accelerator_view.free_mib());
        }
    }
    free
}

pub(super) fn base_slots(view: &DomainView, demand: &ArtifactDemand) -> Vec<SlotPosition> {
    let position = |base: &BaseAssignment| {
        let runner = view.runners.iter().position(|runner| runner.backend == base.backend)?;
        let accelerator = usize::from(base.accelerator);
        (accelerator < view.runners[runner].accelerators.len()).then_some(SlotPosition { runner, accelerator })
    };
    demand.base_assignments.iter().filter_map(position).collect()
}
