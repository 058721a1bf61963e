//! Describes the failure domain to its leader: runners, declared weights, demand and limits.

use std::collections::{BTreeMap, BTreeSet};

use mustardgate_core::{
    config::ConfigView,
    ids::{BackendId, DomainId, MemoryMib},
    leader::{DomainConfig, RunnerConfig},
    log::Artifact,
    placement::{
        ArtifactDemand,
        base::{BaseInput, BasePlacement, DeclaredArtifact, LiveRunner},
        demand::DemandEstimator,
    },
    resources::{BackendRole, BackendSpec, PolicySpec, PriorityClass, ResourceKind, ResourceSpec},
    routing::Availability,
};

use crate::context::NodeContext;

/// Describes the own failure domain from the declarations and the live list.
pub(super) fn describe_domain(context: &NodeContext, demand: &DemandEstimator) -> Option<DomainConfig> {
    let view = context.directory.view().ok()?;
    let own = &context.settings.node.domain;
    let engines = declared_engines(&view);
    let input = BaseInput {
        artifacts: declared_artifacts(&view),
        runners: engines
            .iter()
            .filter_map(|(name, spec)| live_runner(context, name, spec))
            .collect(),
    };
    let placement = BasePlacement::compute(&input);
    let in_domain = |spec: &&(BackendId, BackendSpec)| spec.1.domain == *own;
    Some(DomainConfig {
        runners: engines
            .iter()
            .filter(in_domain)
            .map(|(name, spec)| runner_config(context, name, spec))
            .collect(),
        demands: input
            .artifacts
            .iter()
            .map(|artifact| describe_demand(&view, &placement, own, artifact, demand))
            .collect(),
        answered_elsewhere: answered_elsewhere(context, &engines, &input.artifacts),
        policy: domain_share(&view.policy(), &engines),
    })
}

fn declared_engines(view: &ConfigView) -> Vec<(BackendId, BackendSpec)> {
    let backends = view.list(ResourceKind::Backend);
    let engines = backends.filter_map(|resource| match &resource.spec {
        ResourceSpec::Backend(spec) if spec.role == BackendRole::Engine => {
            Some((resource.key.name.clone(), spec.clone()))
        }
        _ => None,
    });
    engines.collect()
}

/// Lists the weights that have to be reachable: the serving version of each model, and each adapter.
fn declared_artifacts(view: &ConfigView) -> Vec<DeclaredArtifact> {
    let models = view
        .list(ResourceKind::Model)
        .filter_map(|resource| match &resource.spec {
            ResourceSpec::Model(spec) => Some(DeclaredArtifact {
                artifact: Artifact {
                    model: resource.key.name.clone(),
                    adapter: None,
                    version: spec.serving.clone(),
                },
                memory_mib: spec.serving_version()?.memory_mib,
                min_replicas: spec.min_replicas,
            }),
            _ => None,
        });
    let adapters = view
        .list(ResourceKind::Adapter)
        .filter_map(|resource| match &resource.spec {
            ResourceSpec::Adapter(spec) => Some(DeclaredArtifact {
                artifact: Artifact {
                    model: spec.model.clone(),
                    adapter: Some(resource.key.name.clone()),
                    version: spec.version.clone(),
                },
                memory_mib: spec.memory_mib,
                min_replicas: 1,
            }),
            _ => None,
        });
    models.chain(adapters).collect()
}

fn accelerator_memory(spec: &BackendSpec) -> Vec<MemoryMib> {
    spec.accelerators
        .iter()
        .map(|accelerator| accelerator.memory_mib)
        .collect()
}

fn live_runner(context: &NodeContext, name: &BackendId, spec: &BackendSpec) -> Option<LiveRunner> {
    if context.vms.availability(name) != Availability::Serving {
        return None;
    }
    Some(LiveRunner {
        backend: name.clone(),
        domain: spec.domain.clone(),
        region: spec.region.clone(),
        accelerators: accelerator_memory(spec),
    })
}

fn runner_config(context: &NodeContext, name: &BackendId, spec: &BackendSpec) -> RunnerConfig {
    RunnerConfig {
        backend: name.clone(),
        fencing: spec.fencing,
        accelerators: accelerator_memory(spec),
        max_concurrency: spec.max_concurrency,
        is_leaving: context.vms.availability(name) != Availability::Serving,
    }
}

fn describe_demand(
    view: &ConfigView,
    placement: &BasePlacement,
    own: &DomainId,
    declared: &DeclaredArtifact,
    demand: &DemandEstimator,
) -> ArtifactDemand {
    let services = view
        .services_of(&declared.artifact.model)
        .filter_map(|service| view.service(service));
    ArtifactDemand {
        artifact: declared.artifact.clone(),
        memory_mib: declared.memory_mib,
        requests_per_second: demand.forecast(&declared.artifact),
        priority: services
            .map(|service| service.priority)
            .min()
            .unwrap_or(PriorityClass::Batch),
        base: placement.in_domain(own, &declared.artifact),
    }
}

/// Lists the weights that a runner of another failure domain answers for, as far as this node knows.
fn answered_elsewhere(
    context: &NodeContext,
    engines: &[(BackendId, BackendSpec)],
    artifacts: &[DeclaredArtifact],
) -> BTreeSet<Artifact> {
    let own = &context.settings.node.domain;
    let domains: BTreeMap<&BackendId, &DomainId> = engines.iter().map(|(name, spec)| (name, &spec.domain)).collect();
    let is_elsewhere = |backend: &BackendId| domains.get(backend).is_some_and(|domain| *domain != own);
    let names = artifacts.iter().map(|declared| &declared.artifact);
    names
        .filter(|artifact| context.board.ready(artifact).iter().any(is_elsewhere))
        .cloned()
        .collect()
}

/// Returns the policy with this domain's equal share of the weight store's limits.
fn domain_share(policy: &PolicySpec, engines: &[(BackendId, BackendSpec)]) -> PolicySpec {
    let domains: BTreeSet<&DomainId> = engines.iter().map(|(_, spec)| &spec.domain).collect();
    let count = domains.len().max(1) as u32;
    PolicySpec {
        store_loads_per_second: policy.store_loads_per_second / f64::from(count),
        store_concurrent_loads: (policy.store_concurrent_loads / count).max(1),
        adapter_loads_in_flight: (policy.adapter_loads_in_flight / count).max(1),
        ..policy.clone()
    }
}
