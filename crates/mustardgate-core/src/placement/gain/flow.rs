//! Expected load of each runner when every artifact's demand spreads over its replicas.

use std::collections::{BTreeMap, BTreeSet};

use super::loss::{late_per_second, marginal_late_ratio};
use crate::{
    log::Artifact,
    placement::{DomainView, HoldingState},
    resources::PriorityClass,
};

const BALANCE_ROUNDS: usize = 3;
const BATCH_VALUE: f64 = 0.5;

/// Load of the runners of one domain, by index into [`DomainView::runners`].
#[derive(Clone, Debug)]
pub(super) struct FlowModel {
    capacities: Vec<f64>,
    loads: Vec<f64>,
    flows: BTreeMap<Artifact, ArtifactFlow>,
}

#[derive(Clone, Debug, Default)]
struct ArtifactFlow {
    rate: f64,
    value: f64,
    remote_utilisation: Option<f64>,
    shares: BTreeMap<usize, f64>,
}

impl FlowModel {
    /// Builds the model from a view; `hold_s` is the time for which a request takes a place in the batch.
    pub(super) fn new(view: &DomainView, hold_s: f64, remote_utilisation: impl Fn(&Artifact) -> Option<f64>) -> Self {
        let capacities = view
            .runners
            .iter()
            .map(|runner| {
                let usable = f64::from(u8::from(!runner.is_unschedulable));
                usable * f64::from(runner.max_concurrency) / hold_s
            })
            .collect::<Vec<f64>>();
        let holders = holders_of(view);
        let flows = view.demands.iter().map(|demand| {
            let flow = ArtifactFlow {
                rate: demand.requests_per_second,
                value: if demand.priority == PriorityClass::Batch {
                    BATCH_VALUE
                } else {
                    1.0
                },
                remote_utilisation: remote_utilisation(&demand.artifact),
                shares: holders
                    .get(&demand.artifact)
                    .into_iter()
                    .flatten()
                    .map(|index| (*index, 0.0))
                    .collect(),
            };
            (demand.artifact.clone(), flow)
        });
        let mut model = Self {
            loads: vec![0.0; capacities.len()],
            capacities,
            flows: flows.collect(),
        };
        model.balance();
        model
    }

    fn balance(&mut self) {
        let artifacts: Vec<Artifact> = self.flows.keys().cloned().collect();
        for _ in 0..BALANCE_ROUNDS {
            for artifact in &artifacts {
                self.spread(artifact);
            }
        }
    }

    /// Spreads one artifact's demand so that its replicas are as evenly used as the others' loads allow.
    fn spread(&mut self, artifact: &Artifact) {
        let Some(flow) = self.flows.get_mut(artifact) else {
            return;
        };
        for (index, share) in &mut flow.shares {
            self.loads[*index] -= *share;
            *share = 0.0;
        }
        let holders: Vec<usize> = flow.shares.keys().copied().collect();
        let filled = fill(&self.capacities, &self.loads, &holders, flow.rate);
        for (index, share) in filled {
            self.loads[index] += share;
            flow.shares.insert(index, share);
        }
    }

    /// Returns whether some request for the artifacts may be late, so that another replica can have a gain.
    pub(super) fn is_strained(&self, artifact: &Artifact) -> bool {
        self.flows.get(artifact).is_some_and(|flow| {
            let strained = |index: &usize| marginal_late_ratio(self.utilisation(*index)) > 0.0;
            flow.rate > 0.0
                && (flow.shares.keys().any(strained)
                    || flow.shares.is_empty()
                        && flow
                            .remote_utilisation
                            .is_some_and(|used| marginal_late_ratio(used) > 0.0))
        })
    }

    /// Returns the requests a second answered in time that one more replica of a group of artifacts brings.
    pub(super) fn gain_of_adding(&self, group: &[Artifact], runner: usize) -> f64 {
        let mut added = self.clone_shares(group);
        added.insert(runner);
        self.late_with(group, &self.clone_shares(group)) - self.late_with(group, &added)
    }

    /// Returns the requests a second that would be late without a group's replica on a runner.
    pub(super) fn loss_of_removing(&self, group: &[Artifact], runner: usize) -> f64 {
        let mut left = self.clone_shares(group);
        left.remove(&runner);
        (self.late_with(group, &left) - self.late_with(group, &self.clone_shares(group))).max(0.0)
    }

    /// Applies a change to the model, so that the next choice of the same plan sees it.
    pub(super) fn set_replica(&mut self, artifact: &Artifact, runner: usize, is_held: bool) {
        let Some(flow) = self.flows.get_mut(artifact) else {
            return;
        };
        if is_held {
            flow.shares.entry(runner).or_default();
        } else if let Some(share) = flow.shares.remove(&runner) {
            self.loads[runner] -= share;
        }
        self.spread(artifact);
    }

    fn utilisation(&self, runner: usize) -> f64 {
        if self.capacities[runner] <= 0.0 {
            return 1.0;
        }
        self.loads[runner] / self.capacities[runner]
    }

    fn clone_shares(&self, group: &[Artifact]) -> BTreeSet<usize> {
        group
            .iter()
            .filter_map(|artifact| self.flows.get(artifact))
            .flat_map(|flow| flow.shares.keys().copied())
            .collect()
    }

    /// Returns the value of requests that are late each second when a group's demand spreads over `holders`.
    fn late_with(&self, group: &[Artifact], holders: &BTreeSet<usize>) -> f64 {
        let flows: Vec<&ArtifactFlow> = group.iter().filter_map(|artifact| self.flows.get(artifact)).collect();
        let rate: f64 = flows.iter().map(|flow| flow.rate).sum();
        if rate <= 0.0 {
            return 0.0;
        }
        let value = flows.iter().map(|flow| flow.value * flow.rate).sum::<f64>() / rate;
        let affected: BTreeSet<usize> = holders.union(&self.clone_shares(group)).copied().collect();
        let mut loads = self.loads.clone();
        for flow in &flows {
            for (index, share) in &flow.shares {
                loads[*index] -= share;
            }
        }
        if holders.is_empty() {
            let remote = flows
                .iter()
                .filter_map(|flow| flow.remote_utilisation)
                .fold(0.0, f64::max);
            return value * (rate * marginal_late_ratio(remote) + self.late_at(&affected, &loads));
        }
        let candidates: Vec<usize> = holders.iter().copied().collect();
        for (index, share) in fill(&self.capacities, &loads, &candidates, rate) {
            loads[index] += share;
        }
        value * self.late_at(&affected, &loads)
    }

    fn late_at(&self, runners: &BTreeSet<usize>, loads: &[f64]) -> f64 {
        runners
            .iter()
            .map(|index| late_per_second(loads[*index], self.capacities[*index]))
            .sum()
    }
}

/// Pours a rate over runners so that the least used fill up first.
fn fill(capacities: &[f64], loads: &[f64], holders: &[usize], rate: f64) -> Vec<(usize, f64)> {
    let mut usable: Vec<usize> = holders
        .iter()
        .copied()
        .filter(|index| capacities[*index] > 0.0)
        .collect();
    let used = |index: usize| loads[index] / capacities[index];
    usable.sort_by(|left, right| used(*left).total_cmp(&used(*right)));
    let mut level = 0.0;
    let mut filled = 0;
    let (mut capacity, mut load) = (0.0, rate);
    for (position, index) in usable.iter().enumerate() {
        if position > 0 && used(*index) >= level {
            break;
        }
        capacity += capacities[*index];
        load += loads[*index];
        level = load / capacity;
        filled = position + 1;
    }
    usable[..filled]
        .iter()
        .map(|index| (*index, (level * capacities[*index] - loads[*index]).max(0.0)))
        .collect()
}

fn holders_of(view: &DomainView) -> BTreeMap<&Artifact, BTreeSet<usize>> {
    let mut holders: BTreeMap<&Artifact, BTreeSet<usize>> = BTreeMap::new();
    for (index, runner) in view
        .runners
        .iter()
        .enumerate()
        .filter(|(_, runner)| !runner.is_unschedulable)
    {
        for holding in runner.accelerators.iter().flat_map(|accelerator| &accelerator.holdings) {
            if holding.state != HoldingState::Unloading {
                holders.entry(&holding.artifact).or_default().insert(index);
            }
        }
    }
    holders
}
