//! Replicas and demand as one plan sees and changes them.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::MemoryMib,
    log::Artifact,
    placement::{DomainView, HoldingState, RunnerView},
};

/// Replicas and demand, by model.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaLedger {
    copies: BTreeMap<Artifact, u32>,
    /// Replicas that answer now; those on their way are not among them.
    answering: BTreeMap<Artifact, u32>,
    rates: BTreeMap<Artifact, f64>,
    sizes: BTreeMap<Artifact, MemoryMib>,
}

impl ReplicaLedger {
    /// Counts the replicas that answer or are on their way on runners that stay.
    pub(super) fn new(view: &DomainView) -> Self {
        let mut ledger = Self::default();
        for demand in &view.demands {
            ledger.copies.insert(demand.artifact.clone(), 0);
            ledger.rates.insert(demand.artifact.clone(), demand.requests_per_second);
            ledger.sizes.insert(demand.artifact.clone(), demand.memory_mib);
        }
        for runner in view.runners.iter().filter(|runner| !runner.is_unschedulable) {
            for holding in runner.accelerators.iter().flat_map(|state| &state.holdings) {
                if holding.state != HoldingState::Unloading {
                    ledger.add(&holding.artifact);
                }
                if holding.state == HoldingState::Resident {
                    *ledger.answering.entry(holding.artifact.clone()).or_default() += 1;
                }
            }
        }
        ledger
    }

    pub(super) fn add(&mut self, artifact: &Artifact) {
        if let Some(copies) = self.copies.get_mut(artifact) {
            *copies += 1;
        }
    }

    /// Takes a replica that answers away.
    pub(super) fn remove(&mut self, artifact: &Artifact) {
        for counts in [&mut self.copies, &mut self.answering] {
            if let Some(count) = counts.get_mut(artifact) {
                *count = count.saturating_sub(1);
            }
        }
    }

    pub(super) fn answering(&self, artifact: &Artifact) -> u32 {
        self.answering.get(artifact).copied().unwrap_or_default()
    }

    pub(super) fn copies(&self, artifact: &Artifact) -> u32 {
        self.copies.get(artifact).copied().unwrap_or_default()
    }

    /// Returns the requests a second that each replica gets if there are `copies`.
    pub(super) fn rate_with(&self, artifact: &Artifact, copies: u32) -> f64 {
        self.rates.get(artifact).copied().unwrap_or_default() / f64::from(copies.max(1))
    }

    /// Returns the requests a second that each replica gets now.
    pub(super) fn rate_per_copy(&self, artifact: &Artifact) -> f64 {
        self.rate_with(artifact, self.copies(artifact))
    }

    pub(super) fn size(&self, artifact: &Artifact) -> MemoryMib {
        self.sizes.get(artifact).copied().unwrap_or_default()
    }

    /// Returns the requests a second that a runner gets from the models that it keeps.
    pub(super) fn load_of(&self, runner: &RunnerView, leaving: &[Artifact]) -> f64 {
        let holdings = runner.accelerators.iter().flat_map(|state| &state.holdings);
        holdings
            .filter(|holding| !leaving.contains(&holding.artifact))
            .map(|holding| self.rate_per_copy(&holding.artifact))
            .sum()
    }

    /// Shares the memory of all runners out: one replica of each model, then one at a time to the model whose replicas
    /// get most, until each gets at most `enough`.
    pub(super) fn wanted_copies(&self, total_mib: MemoryMib, runners: u32, enough: f64) -> BTreeMap<Artifact, u32> {
        let mut wanted: BTreeMap<Artifact, u32> = self.copies.keys().map(|artifact| (artifact.clone(), 1)).collect();
        let mut left = total_mib.saturating_sub(self.sizes.values().sum());
        let mut ended: BTreeSet<Artifact> = BTreeSet::new();
        loop {
            let neediest = wanted
                .iter()
                .filter(|(artifact, copies)| !ended.contains(*artifact) && **copies < runners)
                .map(|(artifact, copies)| (artifact.clone(), self.rate_with(artifact, *copies)))
                .max_by(|one, other| one.1.total_cmp(&other.1));
            let Some((artifact, rate)) = neediest else {
                return wanted;
            };
            if rate <= enough {
                return wanted;
            }
            let size = self.size(&artifact);
            if size > left {
                ended.insert(artifact);
                continue;
            }
            left -= size;
            *wanted.entry(artifact).or_default() += 1;
        }
    }

    /// Shares what memory `wanted` leaves out to the models with a weight, up to `most` replicas each.
    pub(super) fn add_headroom(
        &self,
        mut wanted: BTreeMap<Artifact, u32>,
        total_mib: MemoryMib,
        weights: &BTreeMap<Artifact, f64>,
        most: u32,
    ) -> BTreeMap<Artifact, u32> {
        let taken: MemoryMib = wanted
            .iter()
            .map(|(artifact, copies)| self.size(artifact) * MemoryMib::from(*copies))
            .sum();
        let mut left = total_mib.saturating_sub(taken);
        loop {
            let next = weights
                .iter()
                .filter_map(|(artifact, weight)| {
                    let copies = *wanted.get(artifact)?;
                    let fits = copies < most && self.size(artifact) <= left;
                    fits.then(|| (artifact, weight / f64::from(copies + 1)))
                })
                .max_by(|one, other| one.1.total_cmp(&other.1));
            let Some((artifact, _)) = next else { return wanted };
            left -= self.size(artifact);
            *wanted.entry(artifact.clone()).or_default() += 1;
        }
    }
}
