//! Builds the leader's description of its failure domain: runners, declared weights, demand and limits.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use mustardgate_core::{
    clock,
    config::ConfigView,
    ids::{BackendId, DomainId, MemoryMib},
    leader::{DomainConfig, RunnerConfig},
    log::Artifact,
    placement::{
        ArtifactDemand, BaseAssignment,
        base::{BasePlacement, DeclaredArtifact, DeclaredRunner},
        demand::DemandEstimator,
        gain::RemoteReplicas,
    },
    reports::RELAY_LOAD_INTERVAL,
    resources::{BackendRole, BackendSpec, PolicySpec, PriorityClass, ResourceKind, ResourceSpec},
    routing::Availability,
};

use super::placement::{PlacementCache, RunnerPresence};
use crate::context::NodeContext;

/// Age of a report, in report intervals, beyond which it no longer shows that a replica is ready.
pub(super) const REPORT_FRESHNESS_INTERVALS: u32 = 4;

/// Age of the last frame from another failure domain, in frame intervals, beyond which it no longer shows that a
/// replica is ready.
const RELAY_FRESHNESS_INTERVALS: u32 = 3;

/// The own failure domain, and the replicas known in the others.
#[derive(Debug)]
pub(super) struct DomainDescription {
    pub(super) config: DomainConfig,
    pub(super) remote_replicas: BTreeMap<Artifact, RemoteReplicas>,
}

/// Describes the failure domains from the configuration, the VM list and the runners' reports; returns `None` while no
/// configuration is loaded.
pub(super) fn describe_domain(
    context: &NodeContext,
    demand: &DemandEstimator,
    cache: &mut PlacementCache,
) -> Option<DomainDescription> {
    let now = clock::now();
    let view = context.directory.view().ok()?;
    let own_domain = &context.settings.node.domain;
    let engines = declared_engines(&view);
    let presences = engines.iter().map(|engine| RunnerPresence {
        runner: describe_runner(engine),
        is_serving: context.vms.availability(&engine.0) == Availability::Serving,
    });
    cache.refresh(now, declared_artifacts(&view), presences.collect());
    let (artifacts, placement) = (cache.artifacts(), cache.placement());
    let in_domain = |spec: &&(BackendId, BackendSpec)| spec.1.domain == *own_domain;
    let mut demands: Vec<ArtifactDemand> = artifacts
        .iter()
        .map(|artifact| {
            describe_demand(
                &view,
                placement.assignments_in_domain(own_domain, &artifact.artifact),
                artifact,
                demand,
            )
        })
        .collect();
    let retained = retained_versions(context, &view, own_domain);
    demands.extend(
        retained
            .iter()
            .map(|artifact| describe_demand(&view, Vec::new(), artifact, demand)),
    );
    demands.sort_by(|left, right| left.artifact.cmp(&right.artifact));
    let config = DomainConfig {
        runners: engines
            .iter()
            .filter(in_domain)
            .map(|(name, spec)| runner_config(context, name, spec))
            .collect(),
        demands,
        served_elsewhere: served_elsewhere(context, &engines, artifacts),
        policy: domain_share(&view.policy(), &engines),
    };
    let remote_replicas = remote_replicas(context, now, &engines, placement);
    Some(DomainDescription {
        config,
        remote_replicas,
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

/// Lists the weights that need replicas: the serving version of each model, and each adapter.
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

fn describe_runner((name, spec): &(BackendId, BackendSpec)) -> DeclaredRunner {
    DeclaredRunner {
        backend: name.clone(),
        domain: spec.domain.clone(),
        region: spec.region.clone(),
        accelerators: accelerator_memory(spec),
    }
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
    base_assignments: Vec<BaseAssignment>,
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
        base_assignments,
    }
}

/// Lists the other versions of a model that are ready in the own failure domain while its serving version is not, so
/// that the last replica of a model is not unloaded during a change of version.
fn retained_versions(context: &NodeContext, view: &ConfigView, own_domain: &DomainId) -> Vec<DeclaredArtifact> {
    let in_domain: BTreeSet<&BackendId> = view.backends_in(own_domain).collect();
    let is_ready = |artifact: &Artifact| {
        context
            .board
            .ready(artifact)
            .iter()
            .any(|name| in_domain.contains(name))
    };
    let mut retained = Vec::new();
    for resource in view.list(ResourceKind::Model) {
        let ResourceSpec::Model(model) = &resource.spec else {
            continue;
        };
        let name = &resource.key.name;
        if is_ready(&model.artifact_of(name, &model.serving)) {
            continue;
        }
        let versions = model.versions.iter().filter(|version| version.name != model.serving);
        let described = versions.map(|version| DeclaredArtifact {
            artifact: model.artifact_of(name, &version.name),
            memory_mib: version.memory_mib,
            min_replicas: 1,
        });
        retained.extend(described.filter(|declared| is_ready(&declared.artifact)));
    }
    retained
}

/// Lists the weights that a runner of another failure domain serves, as far as this node knows.
fn served_elsewhere(
    context: &NodeContext,
    engines: &[(BackendId, BackendSpec)],
    artifacts: &[DeclaredArtifact],
) -> BTreeSet<Artifact> {
    let own_domain = &context.settings.node.domain;
    let domains: BTreeMap<&BackendId, &DomainId> = engines.iter().map(|(name, spec)| (name, &spec.domain)).collect();
    let is_elsewhere = |backend: &BackendId| domains.get(backend).is_some_and(|domain| *domain != own_domain);
    let names = artifacts.iter().map(|declared| &declared.artifact);
    names
        .filter(|artifact| context.board.ready(artifact).iter().any(is_elsewhere))
        .cloned()
        .collect()
}

/// Summarises the ready replicas of the other failure domains whose leader was heard from recently. Only base replicas
/// are counted, because another domain may evict the rest at the same moment.
fn remote_replicas(
    context: &NodeContext,
    now: Instant,
    engines: &[(BackendId, BackendSpec)],
    placement: &BasePlacement,
) -> BTreeMap<Artifact, RemoteReplicas> {
    let own_domain = &context.settings.node.domain;
    let max_silence = RELAY_LOAD_INTERVAL * RELAY_FRESHNESS_INTERVALS;
    let is_heard = |domain: &DomainId| {
        let silence = context.reports.silence_of(domain, now);
        silence.is_some_and(|silence| silence <= max_silence)
    };
    let mut replicas_by_artifact: BTreeMap<Artifact, Vec<RemoteReplica>> = BTreeMap::new();
    let heard_domains: BTreeSet<&DomainId> = engines
        .iter()
        .map(|(_, spec)| &spec.domain)
        .filter(|domain| is_heard(domain))
        .collect();
    let is_remote = |spec: &BackendSpec| spec.domain != *own_domain && heard_domains.contains(&spec.domain);
    for (name, spec) in engines.iter().filter(|(_, spec)| is_remote(spec)) {
        let Some(entry) = context.board.entry(name) else {
            continue;
        };
        let utilisation = f64::from(entry.state.outstanding) / f64::from(spec.max_concurrency.max(1));
        for artifact in entry.state.ready {
            let base = placement.replicas.get(&artifact).into_iter().flatten();
            let is_base = base.map(|replica| &replica.place).any(|place| place.backend == *name);
            let replicas = replicas_by_artifact.entry(artifact).or_default();
            replicas.push(RemoteReplica { is_base, utilisation });
        }
    }
    let summarise = |replicas: Vec<RemoteReplica>| RemoteReplicas {
        ready: replicas.iter().filter(|replica| replica.is_base).count() as u32,
        utilisation: replicas.iter().map(|replica| replica.utilisation).sum::<f64>() / replicas.len() as f64,
    };
    replicas_by_artifact
        .into_iter()
        .map(|(artifact, replicas)| (artifact, summarise(replicas)))
        .collect()
}

#[derive(Clone, Copy, Debug)]
struct RemoteReplica {
    is_base: bool,
    utilisation: f64,
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
