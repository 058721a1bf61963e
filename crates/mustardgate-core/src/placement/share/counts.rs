//! Replica counts and demand of each model during one planning round.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::MemoryMib,
    log::Artifact,
    placement::{DomainView, HoldingState, RunnerView},
};

/// Replica counts, demand and memory of each model, updated with the moves of one plan.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaCounts {
    /// Replicas that are loaded or loading.
    replicas: BTreeMap<Artifact, u32>,
    /// Replicas that serve requests now, without those that are loading.
    ready: BTreeMap<Artifact, u32>,
    rates: BTreeMap<Artifact, f64>,
    memory_mib: BTreeMap<Artifact, MemoryMib>,
}

impl ReplicaCounts {
    /// Counts the replicas that are loaded or loading on schedulable runners.
    pub(super) fn new(view: &DomainView) -> Self {
        let mut counts = Self::default();
        for demand in &view.demands {
            counts.replicas.insert(demand.artifact.clone(), 0);
            counts.rates.insert(demand.artifact.clone(), demand.requests_per_second);
            counts.memory_mib.insert(demand.artifact.clone(), demand.memory_mib);
        }
        for runner in view.runners.iter().filter(|runner| !runner.is_unschedulable) {
            for holding in runner.accelerators.iter().flat_map(|accelerator| &accelerator.holdings) {
                // A replica that cannot take the demand for its model needs another one beside it.
                if holding.state != HoldingState::Unloading && runner.takes(counts.rate(&holding.artifact)) {
                    counts.add(&holding.artifact);
                }
                if holding.state == HoldingState::Resident {
                    *counts.ready.entry(holding.artifact.clone()).or_default() += 1;
                }
            }
        }
        counts
    }

    pub(super) fn add(&mut self, artifact: &Artifact) {
        if let Some(replicas) = self.replicas.get_mut(artifact) {
            *replicas += 1;
        }
    }

    /// Removes a replica that serves requests.
    pub(super) fn remove(&mut self, artifact: &Artifact) {
        for counts in [&mut self.replicas, &mut self.ready] {
            if let Some(count) = counts.get_mut(artifact) {
                *count = count.saturating_sub(1);
            }
        }
    }

    pub(super) fn ready(&self, artifact: &Artifact) -> u32 {
        self.ready.get(artifact).copied().unwrap_or_default()
    }

    pub(super) fn replicas(&self, artifact: &Artifact) -> u32 {
        self.replicas.get(artifact).copied().unwrap_or_default()
    }

    /// Returns the requests a second at each replica if there are `replicas`.
    pub(super) fn rate_per_replica_at(&self, artifact: &Artifact, replicas: u32) -> f64 {
        self.rate(artifact) / f64::from(replicas.max(1))
    }

    /// Returns the requests a second for a model.
    pub(super) fn rate(&self, artifact: &Artifact) -> f64 {
        self.rates.get(artifact).copied().unwrap_or_default()
    }

    /// Returns the requests a second at each replica now.
    pub(super) fn rate_per_replica(&self, artifact: &Artifact) -> f64 {
        self.rate_per_replica_at(artifact, self.replicas(artifact))
    }

    pub(super) fn memory_mib(&self, artifact: &Artifact) -> MemoryMib {
        self.memory_mib.get(artifact).copied().unwrap_or_default()
    }

    /// Returns the requests a second at a runner for the models that it holds, without those to be evicted.
    pub(super) fn runner_load(&self, runner: &RunnerView, evicted: &[Artifact]) -> f64 {
        let holdings = runner.accelerators.iter().flat_map(|accelerator| &accelerator.holdings);
        holdings
            .filter(|holding| !evicted.contains(&holding.artifact))
            .map(|holding| self.rate_per_replica(&holding.artifact))
            .sum()
    }

    /// Divides the memory of all runners among the models and returns their target replica counts: one replica each,
    /// then one at a time for the model with the highest rate per replica, until no rate exceeds `comfortable_rate`. Returns
    /// as well how many models it looked at.
    pub(super) fn target_replicas(
        &self,
        total_mib: MemoryMib,
        max_replicas: u32,
        comfortable_rate: f64,
    ) -> (BTreeMap<Artifact, u32>, u64) {
        let mut steps = 0;
        let mut targets: BTreeMap<Artifact, u32> = self.replicas.keys().map(|artifact| (artifact.clone(), 1)).collect();
        let mut left_mib = total_mib.saturating_sub(self.memory_mib.values().sum());
        let mut without_room: BTreeSet<Artifact> = BTreeSet::new();
        loop {
            steps += targets.len() as u64;
            let busiest = targets
                .iter()
                .filter(|(artifact, replicas)| !without_room.contains(*artifact) && **replicas < max_replicas)
                .map(|(artifact, replicas)| (artifact.clone(), self.rate_per_replica_at(artifact, *replicas)))
                .max_by(|one, other| one.1.total_cmp(&other.1));
            let Some((artifact, rate)) = busiest else {
                return (targets, steps);
            };
            if rate <= comfortable_rate {
                return (targets, steps);
            }
            let memory_mib = self.memory_mib(&artifact);
            if memory_mib > left_mib {
                without_room.insert(artifact);
                continue;
            }
            left_mib -= memory_mib;
            *targets.entry(artifact).or_default() += 1;
        }
    }

    /// Adds replicas to `targets` from the memory that they leave: to models in `weights`, up to `max_replicas` each.
    pub(super) fn add_headroom(
        &self,
        mut targets: BTreeMap<Artifact, u32>,
        total_mib: MemoryMib,
        weights: &BTreeMap<Artifact, f64>,
        max_replicas: u32,
    ) -> (BTreeMap<Artifact, u32>, u64) {
        let mut steps = 0;
        let used_mib: MemoryMib = targets
            .iter()
            .map(|(artifact, replicas)| self.memory_mib(artifact) * MemoryMib::from(*replicas))
            .sum();
        let mut left_mib = total_mib.saturating_sub(used_mib);
        loop {
            steps += weights.len() as u64;
            let next = weights
                .iter()
                .filter_map(|(artifact, weight)| {
                    let replicas = *targets.get(artifact)?;
                    let fits = replicas < max_replicas && self.memory_mib(artifact) <= left_mib;
                    fits.then(|| (artifact, weight / f64::from(replicas + 1)))
                })
                .max_by(|one, other| one.1.total_cmp(&other.1));
            let Some((artifact, _)) = next else {
                return (targets, steps);
            };
            left_mib -= self.memory_mib(artifact);
            *targets.entry(artifact.clone()).or_default() += 1;
        }
    }
}
