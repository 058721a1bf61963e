//! Candidates for eviction: how long replicas have been resident, and which artifacts are evicted together.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    ids::{AcceleratorIndex, BackendId, MemoryMib},
    log::Artifact,
    placement::{DomainView, Holding, HoldingState},
};

/// Replica of an artifact on one accelerator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::placement) struct ReplicaPlace {
    pub(in crate::placement) backend: BackendId,
    pub(in crate::placement) accelerator: AcceleratorIndex,
    pub(in crate::placement) artifact: Artifact,
}

/// Records when each replica was first seen.
#[derive(Clone, Debug, Default)]
pub(in crate::placement) struct ResidenceTracker {
    /// `None` for a replica that was there when this leader took over, which counts as resident for long enough.
    first_seen: BTreeMap<ReplicaPlace, Option<Instant>>,
    is_taking_over: bool,
}

impl ResidenceTracker {
    /// Clears the records. Replicas in the next update that shows any count as having stayed, as a former leader placed
    /// them.
    pub(in crate::placement) fn take_over(&mut self) {
        self.first_seen.clear();
        self.is_taking_over = true;
    }

    /// Records new replicas and removes those that are gone.
    pub(in crate::placement) fn update(&mut self, now: Instant, view: &DomainView) {
        let mut first_seen = BTreeMap::new();
        for runner in &view.runners {
            for (accelerator, accelerator_view) in (0..).zip(&runner.accelerators) {
                for holding in &accelerator_view.holdings {
                    let place = ReplicaPlace {
                        backend: runner.backend.clone(),
                        accelerator,
                        artifact: holding.artifact.clone(),
                    };
                    let default = (!self.is_taking_over).then_some(now);
                    let since = self.first_seen.get(&place).copied().unwrap_or(default);
                    first_seen.insert(place, since);
                }
            }
        }
        self.is_taking_over &= first_seen.is_empty();
        self.first_seen = first_seen;
    }

    /// Returns whether a replica has been resident for at least `min_residence`.
    pub(in crate::placement) fn has_stayed(&self, now: Instant, place: &ReplicaPlace, min_residence: Duration) -> bool {
        self.first_seen
            .get(place)
            .is_some_and(|since| since.is_none_or(|at| now.saturating_duration_since(at) >= min_residence))
    }
}

/// Artifacts that are evicted together: a model with its adapters on the same accelerator, or one adapter.
#[derive(Clone, Debug)]
pub(super) struct EvictionUnit {
    pub(super) artifacts: Vec<Artifact>,
    pub(super) memory_mib: MemoryMib,
}

/// Lists what can be evicted from an accelerator: each resident adapter alone, and each resident model with its
/// adapters.
pub(super) fn eviction_units(holdings: &[Holding]) -> Vec<EvictionUnit> {
    let resident_holdings = || {
        holdings
            .iter()
            .filter(|holding| holding.state == HoldingState::Resident)
    };
    resident_holdings()
        .map(|holding| {
            let is_model = holding.artifact.adapter.is_none();
            let own_adapters = resident_holdings().filter(|other| {
                is_model && other.artifact.adapter.is_some() && other.artifact.model == holding.artifact.model
            });
            let members: Vec<&Holding> = own_adapters.chain([holding]).collect();
            EvictionUnit {
                artifacts: members.iter().map(|held| held.artifact.clone()).collect(),
                memory_mib: members.iter().map(|held| held.memory_mib).sum(),
            }
        })
        .collect()
}

/// Counts the replicas of an artifact that serve requests in the domain, on schedulable runners.
pub(super) fn ready_replicas(view: &DomainView, artifact: &Artifact) -> usize {
    view.runners
        .iter()
        .filter(|runner| !runner.is_unschedulable)
        .flat_map(|runner| &runner.accelerators)
        .flat_map(|accelerator| &accelerator.holdings)
        .filter(|holding| holding.state == HoldingState::Resident && holding.artifact == *artifact)
        .count()
}
