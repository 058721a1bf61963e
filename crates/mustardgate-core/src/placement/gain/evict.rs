//! Replicas that may give way, and what giving way costs.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    ids::{AcceleratorIndex, BackendId, MemoryMib},
    log::Artifact,
    placement::{DomainView, Holding, HoldingState},
};

/// A place where weights are resident.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::placement) struct ReplicaPlace {
    pub(in crate::placement) backend: BackendId,
    pub(in crate::placement) accelerator: AcceleratorIndex,
    pub(in crate::placement) artifact: Artifact,
}

/// When each replica was first seen.
#[derive(Clone, Debug, Default)]
pub(in crate::placement) struct ResidenceBook {
    /// `None` for a replica that was there at the first look.
    since: BTreeMap<ReplicaPlace, Option<Instant>>,
    takes_over: bool,
}

impl ResidenceBook {
    /// Forgets everything; replicas that the next update shows count as having stayed, since another leader placed them.
    pub(in crate::placement) fn take_over(&mut self) {
        self.since.clear();
        self.takes_over = true;
    }

    /// Notes new replicas and forgets those that are gone.
    pub(in crate::placement) fn update(&mut self, now: Instant, view: &DomainView) {
        let mut since = BTreeMap::new();
        for runner in &view.runners {
            for (accelerator, state) in (0..).zip(&runner.accelerators) {
                for holding in &state.holdings {
                    let place = ReplicaPlace {
                        backend: runner.backend.clone(),
                        accelerator,
                        artifact: holding.artifact.clone(),
                    };
                    let unknown = (!self.takes_over).then_some(now);
                    let first = self.since.get(&place).copied().unwrap_or(unknown);
                    since.insert(place, first);
                }
            }
        }
        self.takes_over &= since.is_empty();
        self.since = since;
    }

    pub(in crate::placement) fn has_stayed(&self, now: Instant, place: &ReplicaPlace, least: Duration) -> bool {
        self.since
            .get(place)
            .is_some_and(|since| since.is_none_or(|at| now.saturating_duration_since(at) >= least))
    }
}

/// A model's replica with the adapters beside it, which go together.
#[derive(Clone, Debug)]
pub(super) struct EvictionUnit {
    pub(super) artifacts: Vec<Artifact>,
    pub(super) memory_mib: MemoryMib,
}

/// Groups the resident holdings of an accelerator by what has to go together: a model takes its adapters with it.
pub(super) fn eviction_units(holdings: &[Holding]) -> Vec<EvictionUnit> {
    let resident = || {
        holdings
            .iter()
            .filter(|holding| holding.state == HoldingState::Resident)
    };
    resident()
        .map(|holding| {
            let is_model = holding.artifact.adapter.is_none();
            let beside = resident().filter(|other| {
                is_model && other.artifact.adapter.is_some() && other.artifact.model == holding.artifact.model
            });
            let together: Vec<&Holding> = beside.chain([holding]).collect();
            EvictionUnit {
                artifacts: together.iter().map(|held| held.artifact.clone()).collect(),
                memory_mib: together.iter().map(|held| held.memory_mib).sum(),
            }
        })
        .collect()
}

/// Counts the replicas of an artifact that answer in the domain now.
pub(super) fn answering_replicas(view: &DomainView, artifact: &Artifact) -> usize {
    view.runners
        .iter()
        .filter(|runner| !runner.is_unschedulable)
        .flat_map(|runner| &runner.accelerators)
        .flat_map(|accelerator| &accelerator.holdings)
        .filter(|holding| holding.state == HoldingState::Resident && holding.artifact == *artifact)
        .count()
}
