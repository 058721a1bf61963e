//! Describes the failure domain to its leader: runners, declared weights, demand and limits.

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
        ArtifactDemand,
        base::{AbsenceTracker, BaseInput, BasePlacement, DeclaredArtifact, LiveRunner},
        demand::DemandEstimator,
        gain::RemoteReplicas,
    },
    resources::{BackendRole, BackendSpec, PolicySpec, PriorityClass, ResourceKind, ResourceSpec},
    routing::Availability,
};

use crate::context::NodeContext;

/// Intervals between reports after which a report no longer shows that a replica answers.
pub(super) const REPORT_FRESHNESS_INTERVALS: u32 = 4;

/// The own failure domain, and what its leader knows of the others.
#[derive(Debug)]
pub(super) struct DomainDescription {
    pub(super) config: DomainConfig,
    pub(super) remote: BTreeMap<Artifact, RemoteReplicas>,
}

/// Describes the failure domains from the declarations, the live list and the runners' reports.
pub(super) fn describe_domain(
    context: &NodeContext,
    demand: &DemandEstimator,
    absences: &mut AbsenceTracker,
) -> Option<DomainDescription> {
    let now = clock::now();
    let view = context.directory.view().ok()?;
    let own = &context.settings.node.domain;
    let engines = declared_engines(&view);
    let is_live = |name: &BackendId| context.vms.availability(name) == Availability::Serving;
    let (live, away): (Vec<_>, Vec<_>) = engines.iter().partition(|(name, _)| is_live(name));
    absences.observe(now, away.iter().map(|(name, _)| name.clone()));
    let absent = away.into_iter().filter(|(name, _)| absences.is_expected(now, name));
    let input = BaseInput {
        artifacts: declared_artifacts(&view),
        runners: live.into_iter().map(describe_runner).collect(),
        absent: absent.map(describe_runner).collect(),
    };
    let placement = BasePlacement::compute(&input);
    let in_domain = |spec: &&(BackendId, BackendSpec)| spec.1.domain == *own;
    let config = DomainConfig {
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
    };
    let remote = remote_replicas(context, now, &engines, &placement);
    Some(DomainDescription { config, remote })
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

fn describe_runner((name, spec): &(BackendId, BackendSpec)) -> LiveRunner {
    LiveRunner {
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

/// Returns what runners of other failure domains answer for, by reports that are fresh enough to show it. Only base
/// replicas count as answering, because another domain may give up others at the same moment.
fn remote_replicas(
    context: &NodeContext,
    now: Instant,
    engines: &[(BackendId, BackendSpec)],
    placement: &BasePlacement,
) -> BTreeMap<Artifact, RemoteReplicas> {
    let own = &context.settings.node.domain;
    let freshness = context.settings.backends.report() * REPORT_FRESHNESS_INTERVALS;
    let mut found: BTreeMap<Artifact, Vec<RemoteReplica>> = BTreeMap::new();
    for (name, spec) in engines.iter().filter(|(_, spec)| spec.domain != *own) {
        let entry = context.board.entry(name);
        let Some(entry) = entry.filter(|entry| now.saturating_duration_since(entry.received) <= freshness) else {
            continue;
        };
        let outstanding = f64::from(entry.report.running + entry.report.waiting);
        let utilisation = outstanding / f64::from(spec.max_concurrency.max(1));
        for resident in entry.report.resident.iter().filter(|resident| resident.is_ready) {
            let base = placement.replicas.get(&resident.artifact).into_iter().flatten();
            let is_base = base.map(|replica| &replica.place).any(|place| place.backend == *name);
            let replicas = found.entry(resident.artifact.clone()).or_default();
            replicas.push(RemoteReplica { is_base, utilisation });
        }
    }
    let summarise = |replicas: Vec<RemoteReplica>| RemoteReplicas {
        answering: replicas.iter().filter(|replica| replica.is_base).count() as u32,
        utilisation: replicas.iter().map(|replica| replica.utilisation).sum::<f64>() / replicas.len() as f64,
    };
    found
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
