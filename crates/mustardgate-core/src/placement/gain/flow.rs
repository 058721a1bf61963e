//! Expected load of each runner when the demand for each artifact is distributed over its replicas.

use std::collections::{BTreeMap, BTreeSet};

use super::lateness::{late_per_second, marginal_late_ratio};
use crate::{
    log::Artifact,
    placement::{DomainView, HoldingState},
    resources::PriorityClass,
};

/// Passes over all artifacts in which their demand is distributed again, given the load of the others.
const BALANCE_ROUNDS: usize = 3;
/// Value of an answer in time to a request of the batch class; for the other classes it is 1.
const BATCH_REQUEST_VALUE: f64 = 0.5;

/// Capacity and load of the runners of one domain in requests a second, by index into [`DomainView::runners`].
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
    /// Requests a second at each runner that holds the artifact.
    shares: BTreeMap<usize, f64>,
}

impl FlowModel {
    /// Builds the model from a view; `batch_time_s` is the time that a request spends in the batch.
    pub(super) fn new(
        view: &DomainView,
        batch_time_s: f64,
        remote_utilisation: impl Fn(&Artifact) -> Option<f64>,
    ) -> Self {
        let capacities = view
            .runners
            .iter()
            .map(|runner| {
                let usable = f64::from(u8::from(!runner.is_unschedulable));
                usable * f64::from(runner.request_capacity) / batch_time_s
            })
            .collect::<Vec<f64>>();
        let holders = holders_by_artifact(view);
        let flows = view.demands.iter().map(|demand| {
            let flow = ArtifactFlow {
                rate: demand.requests_per_second,
                value: if demand.priority == PriorityClass::Batch {
                    BATCH_REQUEST_VALUE
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
                self.distribute(artifact);
            }
        }
    }

    /// Distributes one artifact's demand so that the utilisation of its runners is as even as their other load allows.
    fn distribute(&mut self, artifact: &Artifact) {
        let Some(flow) = self.flows.get_mut(artifact) else {
            return;
        };
        for (index, share) in &mut flow.shares {
            self.loads[*index] -= *share;
            *share = 0.0;
        }
        let holders: Vec<usize> = flow.shares.keys().copied().collect();
        let filled = water_fill(&self.capacities, &self.loads, &holders, flow.rate);
        for (index, share) in filled {
            self.loads[index] += share;
            flow.shares.insert(index, share);
        }
    }

    /// Returns whether some requests for the artifact may be late, so that another replica can bring a gain.
    pub(super) fn has_late_requests(&self, artifact: &Artifact) -> bool {
        self.flows.get(artifact).is_some_and(|flow| {
            let is_loaded = |index: &usize| marginal_late_ratio(self.utilisation(*index)) > 0.0;
            flow.rate > 0.0
                && (flow.shares.keys().any(is_loaded)
                    || flow.shares.is_empty()
                        && flow
                            .remote_utilisation
                            .is_some_and(|utilisation| marginal_late_ratio(utilisation) > 0.0))
        })
    }

    /// Returns the value a second of the requests that become timely when a runner gets a replica of a group of
    /// artifacts.
    pub(super) fn gain_of_adding(&self, group: &[Artifact], runner: usize) -> f64 {
        let mut holders_after = self.holders(group);
        holders_after.insert(runner);
        self.late_value_with(group, &self.holders(group)) - self.late_value_with(group, &holders_after)
    }

    /// Returns the value a second of the requests that become late when a runner loses its replica of a group of
    /// artifacts.
    pub(super) fn loss_of_removing(&self, group: &[Artifact], runner: usize) -> f64 {
        let mut holders_after = self.holders(group);
        holders_after.remove(&runner);
        (self.late_value_with(group, &holders_after) - self.late_value_with(group, &self.holders(group))).max(0.0)
    }

    /// Adds or removes a replica, so that later choices of the same plan take it into account.
    pub(super) fn set_replica(&mut self, artifact: &Artifact, runner: usize, is_held: bool) {
        let Some(flow) = self.flows.get_mut(artifact) else {
            return;
        };
        if is_held {
            flow.shares.entry(runner).or_default();
        } else if let Some(share) = flow.shares.remove(&runner) {
            self.loads[runner] -= share;
        }
        self.distribute(artifact);
    }

    fn utilisation(&self, runner: usize) -> f64 {
        if self.capacities[runner] <= 0.0 {
            return 1.0;
        }
        self.loads[runner] / self.capacities[runner]
    }

    fn holders(&self, group: &[Artifact]) -> BTreeSet<usize> {
        group
            .iter()
            .filter_map(|artifact| self.flows.get(artifact))
            .flat_map(|flow| flow.shares.keys().copied())
            .collect()
    }

    /// Returns the value of the late requests each second at the runners of a group when its demand is distributed over
    /// `holders`. Requests for other artifacts on these runners count at the mean value of the group.
    fn late_value_with(&self, group: &[Artifact], holders: &BTreeSet<usize>) -> f64 {
        let flows: Vec<&ArtifactFlow> = group.iter().filter_map(|artifact| self.flows.get(artifact)).collect();
        let rate: f64 = flows.iter().map(|flow| flow.rate).sum();
        if rate <= 0.0 {
            return 0.0;
        }
        let value = flows.iter().map(|flow| flow.value * flow.rate).sum::<f64>() / rate;
        let affected: BTreeSet<usize> = holders.union(&self.holders(group)).copied().collect();
        let mut loads = self.loads.clone();
        for flow in &flows {
            for (index, share) in &flow.shares {
                loads[*index] -= share;
            }
        }
        if holders.is_empty() {
            let remote_utilisation = flows
                .iter()
                .filter_map(|flow| flow.remote_utilisation)
                .fold(0.0, f64::max);
            return value
                * (rate * marginal_late_ratio(remote_utilisation) + self.late_per_second_at(&affected, &loads));
        }
        let candidates: Vec<usize> = holders.iter().copied().collect();
        for (index, share) in water_fill(&self.capacities, &loads, &candidates, rate) {
            loads[index] += share;
        }
        value * self.late_per_second_at(&affected, &loads)
    }

    fn late_per_second_at(&self, runners: &BTreeSet<usize>, loads: &[f64]) -> f64 {
        runners
            .iter()
            .map(|index| late_per_second(loads[*index], self.capacities[*index]))
            .sum()
    }
}

/// Distributes a rate over runners by water-filling: the least utilised runners are filled up to a common level.
fn water_fill(capacities: &[f64], loads: &[f64], holders: &[usize], rate: f64) -> Vec<(usize, f64)> {
    let mut usable: Vec<usize> = holders
        .iter()
        .copied()
        .filter(|index| capacities[*index] > 0.0)
        .collect();
    let utilisation = |index: usize| loads[index] / capacities[index];
    usable.sort_by(|left, right| utilisation(*left).total_cmp(&utilisation(*right)));
    let mut level = 0.0;
    let mut filled_count = 0;
    let (mut capacity, mut load) = (0.0, rate);
    for (position, index) in usable.iter().enumerate() {
        if position > 0 && utilisation(*index) >= level {
            break;
        }
        capacity += capacities[*index];
        load += loads[*index];
        level = load / capacity;
        filled_count = position + 1;
    }
    usable[..filled_count]
        .iter()
        .map(|index| (*index, (level * capacities[*index] - loads[*index]).max(0.0)))
        .collect()
}

fn holders_by_artifact(view: &DomainView) -> BTreeMap<&Artifact, BTreeSet<usize>> {
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
