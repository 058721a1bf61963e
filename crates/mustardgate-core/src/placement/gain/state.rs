//! What one plan sees and has used up so far.

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

/// What one plan has used up so far.
#[derive(Debug)]
pub(super) struct PlanState<'a> {
    pub(super) now: Instant,
    pub(super) view: &'a DomainView,
    pub(super) flow: FlowModel,
    pub(super) allowance: LoadAllowance,
    pub(super) load_times: Arc<LoadTimes>,
    pub(super) free_mib: BTreeMap<SlotPosition, MemoryMib>,
    pub(super) touched: BTreeSet<SlotPosition>,
    pub(super) moves: Vec<PlannedMove>,
    pub(super) unloaded: BTreeMap<Artifact, usize>,
}

impl PlanState<'_> {
    pub(super) fn place(&self, slot: SlotPosition, artifact: &Artifact) -> ReplicaPlace {
        ReplicaPlace {
            backend: self.view.runners[slot.runner].backend.clone(),
            accelerator: slot.accelerator as AcceleratorIndex,
            artifact: artifact.clone(),
        }
    }

    pub(super) fn is_held(&self, demand: &ArtifactDemand, slot: SlotPosition) -> bool {
        self.view.runners[slot.runner].accelerators[slot.accelerator]
            .holdings
            .iter()
            .any(|holding| holding.artifact == demand.artifact)
    }

    pub(super) fn is_held_by_runner(&self, demand: &ArtifactDemand, slot: SlotPosition) -> bool {
        let count = self.view.runners[slot.runner].accelerators.len();
        (0..count).any(|accelerator| self.is_held(demand, SlotPosition { accelerator, ..slot }))
    }

    /// Returns whether limits allow the load now, and whether an adapter's model is there.
    pub(super) fn is_permitted(&self, demand: &ArtifactDemand, slot: SlotPosition) -> bool {
        if self.view.runners[slot.runner].is_unschedulable {
            return false;
        }
        if demand.artifact.adapter.is_none() {
            let backend = &self.view.runners[slot.runner].backend;
            let has_copy = self.load_times.copy_time(backend, &demand.artifact).is_some();
            return has_copy || self.allowance.models > 0;
        }
        let holdings = &self.view.runners[slot.runner].accelerators[slot.accelerator].holdings;
        let is_beside_model = holdings.iter().any(|holding| {
            holding.artifact.adapter.is_none()
                && holding.artifact.model == demand.artifact.model
                && holding.state == HoldingState::Resident
        });
        self.allowance.adapters > 0 && is_beside_model
    }

    pub(super) fn is_base_place(&self, artifact: &Artifact, slot: SlotPosition) -> bool {
        let place = self.place(slot, artifact);
        self.view
            .demands
            .iter()
            .filter(|demand| demand.artifact == *artifact)
            .flat_map(|demand| &demand.base_assignments)
            .any(|base| base.backend == place.backend && base.accelerator == place.accelerator)
    }
}

pub(super) fn free_by_slot(view: &DomainView) -> BTreeMap<SlotPosition, MemoryMib> {
    let mut free = BTreeMap::new();
    for (runner, state) in view.runners.iter().enumerate() {
        for (accelerator, memory) in state.accelerators.iter().enumerate() {
            free.insert(SlotPosition { runner, accelerator }, memory.free_mib());
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
