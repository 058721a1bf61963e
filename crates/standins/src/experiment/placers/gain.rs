//! The product's placement: base placement, demand estimate and a policy by marginal gain for each failure domain.

use std::{collections::BTreeMap, time::Duration};

use mustardgate_core::{
    log::Artifact,
    placement::{
        AcceleratorView, ArtifactDemand, DomainView, Holding, HoldingState, PlacementPolicy, PlannedMove, RunnerView,
        base::BasePlacement,
        demand::{DemandEstimator, DemandSettings},
        gain::{GainPolicy, GainSettings, RemoteReplicas},
    },
    resources::PriorityClass,
};

use super::{ClusterView, PlacementOrder, Placer};
use crate::experiment::{
    Deployment,
    deployment::{BATCH_SLOTS, accelerator_memory_mib, backend_index},
    engine::{MEAN_HOLD_S, WeightState},
    node::backend_name,
};

/// Weight of the newest sample in the moving average of a runner's utilisation.
const UTILISATION_WEIGHT: f64 = 0.2;

/// Placement state of one failure domain's leader.
#[derive(Debug)]
struct PlacementLeader {
    policy: GainPolicy,
    estimator: DemandEstimator,
    arrivals: BTreeMap<Artifact, f64>,
}

/// Places with the product's [`GainPolicy`].
#[derive(Debug)]
pub(in crate::experiment) struct GainPlacer {
    leaders: Vec<PlacementLeader>,
    base: BasePlacement,
    alive: Vec<bool>,
    utilisation: Vec<f64>,
}

impl GainPlacer {
    pub(in crate::experiment) fn new(deployment: &Deployment) -> Self {
        let settings = GainSettings {
            mean_batch_time: Duration::from_secs_f64(MEAN_HOLD_S),
            domain_share: 1.0 / deployment.domains as f64,
            ..GainSettings::default()
        };
        let leaders = (0..deployment.domains).map(|_| PlacementLeader {
            policy: GainPolicy::new(settings),
            estimator: DemandEstimator::new(DemandSettings::default()),
            arrivals: BTreeMap::new(),
        });
        Self {
            leaders: leaders.collect(),
            base: deployment.base_placement(|_| true),
            alive: vec![true; deployment.runners],
            utilisation: vec![0.0; deployment.runners],
        }
    }

    /// Updates the base placement, the utilisation of runners and the demand estimates.
    fn observe(&mut self, view: ClusterView<'_>) {
        let alive: Vec<bool> = (0..view.deployment.runners)
            .map(|runner| view.backends[runner].is_alive)
            .collect();
        if alive != self.alive {
            self.base = view.deployment.base_placement(|runner| alive[runner]);
            self.alive = alive;
        }
        for (runner, utilisation) in self.utilisation.iter_mut().enumerate() {
            let current = f64::from(view.backends[runner].outstanding()) / f64::from(BATCH_SLOTS);
            *utilisation += (current - *utilisation) * UTILISATION_WEIGHT;
        }
        for leader in &mut self.leaders {
            leader.estimator.observe(view.now, &leader.arrivals);
            leader.arrivals.clear();
        }
    }

    fn domain_view(&self, view: ClusterView<'_>, domain: usize) -> DomainView {
        let deployment = view.deployment;
        let catalogue = &deployment.catalogue;
        let mut runners: Vec<usize> = (0..deployment.runners)
            .filter(|runner| deployment.domain_of(*runner) == domain && view.backends[*runner].is_alive)
            .collect();
        runners.sort_by_key(|runner| backend_name(*runner));
        let loading = |is_adapter: bool| {
            let count = runners
                .iter()
                .flat_map(|runner| &view.backends[*runner].weights)
                .filter(|(entry, state)| **state == WeightState::Loading && catalogue.is_adapter(**entry) == is_adapter)
                .count();
            count as u32
        };
        let estimator = &self.leaders[domain].estimator;
        let name = Deployment::domain_name(domain);
        let demands = catalogue.entries[..catalogue.service_index()]
            .iter()
            .map(|entry| ArtifactDemand {
                artifact: entry.artifact.clone(),
                memory_mib: entry.memory_mib,
                requests_per_second: estimator.forecast(&entry.artifact),
                priority: PriorityClass::Standard,
                base_assignments: self.base.assignments_in_domain(&name, &entry.artifact),
            });
        DomainView {
            runners: runners.iter().map(|runner| runner_view(view, *runner)).collect(),
            demands: demands.collect(),
            policy: deployment.policy.clone(),
            model_loads_in_flight: loading(false),
            adapter_loads_in_flight: loading(true),
        }
    }

    /// Returns the ready base replicas in other failure domains, and the mean utilisation of all holders there.
    fn remote_replicas(&self, view: ClusterView<'_>, domain: usize) -> BTreeMap<Artifact, RemoteReplicas> {
        let deployment = view.deployment;
        let mut remote = BTreeMap::new();
        let declared = &deployment.catalogue.entries[..deployment.catalogue.service_index()];
        for (index, entry) in declared.iter().enumerate() {
            let holders: Vec<usize> = (0..deployment.runners)
                .filter(|runner| deployment.domain_of(*runner) != domain)
                .filter(|runner| view.backends[*runner].is_ready(index))
                .collect();
            let base = self.base.replicas.get(&entry.artifact);
            let is_base = |runner: &&usize| {
                base.into_iter()
                    .flatten()
                    .any(|replica| backend_index(&replica.place.backend) == **runner)
            };
            let sum: f64 = holders.iter().map(|runner| self.utilisation[*runner]).sum();
            let replicas = RemoteReplicas {
                ready: holders.iter().filter(is_base).count() as u32,
                utilisation: sum / holders.len().max(1) as f64,
            };
            remote.insert(entry.artifact.clone(), replicas);
        }
        remote
    }
}

impl Placer for GainPlacer {
    fn on_arrival(&mut self, view: ClusterView<'_>, entry: usize, domain: usize) -> Vec<PlacementOrder> {
        let deployment = view.deployment;
        if entry == deployment.catalogue.service_index() {
            return Vec::new();
        }
        let artifact = &deployment.catalogue.entries[entry].artifact;
        let mut holder_domains: Vec<usize> = (0..deployment.runners)
            .filter(|runner| view.backends[*runner].is_ready(entry))
            .map(|runner| deployment.domain_of(runner))
            .collect();
        holder_domains.sort_unstable();
        holder_domains.dedup();
        *self.leaders[domain].arrivals.entry(artifact.clone()).or_default() += 1.0;
        if !holder_domains.contains(&domain) {
            for other in &holder_domains {
                let share = 1.0 / holder_domains.len() as f64;
                *self.leaders[*other].arrivals.entry(artifact.clone()).or_default() += share;
            }
        }
        Vec::new()
    }

    fn review(&mut self, view: ClusterView<'_>, is_periodic: bool) -> Vec<PlacementOrder> {
        if !is_periodic {
            return Vec::new();
        }
        self.observe(view);
        let mut orders = Vec::new();
        for domain in 0..view.deployment.domains {
            let state = self.domain_view(view, domain);
            let remote = self.remote_replicas(view, domain);
            let policy = &mut self.leaders[domain].policy;
            policy.set_remote_replicas(remote);
            orders.extend(
                policy
                    .plan(view.now, &state)
                    .iter()
                    .filter_map(|planned| placement_order(view, planned)),
            );
        }
        orders
    }
}

fn runner_view(view: ClusterView<'_>, runner: usize) -> RunnerView {
    let entries = &view.deployment.catalogue.entries;
    let holdings = view.backends[runner].weights.iter().map(|(entry, state)| Holding {
        artifact: entries[*entry].artifact.clone(),
        memory_mib: entries[*entry].memory_mib,
        state: match state {
            WeightState::Loading => HoldingState::Reserved,
            WeightState::Ready => HoldingState::Resident,
            WeightState::Unloading => HoldingState::Unloading,
        },
    });
    RunnerView {
        backend: backend_name(runner),
        is_unschedulable: false,
        request_capacity: BATCH_SLOTS,
        request_limit: None,
        accelerators: vec![AcceleratorView {
            capacity_mib: accelerator_memory_mib(),
            holdings: holdings.collect(),
        }],
    }
}

fn placement_order(view: ClusterView<'_>, planned: &PlannedMove) -> Option<PlacementOrder> {
    let (PlannedMove::Load { backend, artifact, .. } | PlannedMove::Unload { backend, artifact, .. }) = planned;
    let runner = backend_index(backend);
    let entry = view.deployment.catalogue.index_of(artifact)?;
    Some(match planned {
        PlannedMove::Load { .. } => PlacementOrder::Load { runner, entry },
        PlannedMove::Unload { .. } => PlacementOrder::Unload { runner, entry },
    })
}
