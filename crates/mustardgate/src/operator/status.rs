//! Status of the node and of the resources that it serves, as reported to operators.

use mustardgate_core::{
    config::ConfigReplica,
    log::{Artifact, VersionedResource},
    resources::{ResourceKind, ResourceSpec},
    routing::Availability,
};
use mustardgate_protocol::operators::{BackendStatus, DomainStatus, NodeStatus, ResourceCondition, ResourceStatus};
use smol_str::{SmolStr, format_smolstr};

use crate::context::NodeContext;

/// Returns why the node does not accept callers' requests; empty when it does.
pub fn readiness(node: &NodeContext) -> Vec<String> {
    let mut reasons = Vec::new();
    if node.drain.is_draining() {
        reasons.push("draining".to_owned());
    }
    if let Err(reason) = node.directory.view() {
        reasons.push(format!("no configuration: {reason}"));
    }
    reasons
}

pub(super) fn node_status(node: &NodeContext) -> NodeStatus {
    let reasons = readiness(node);
    let identity = &node.settings.node;
    NodeStatus {
        node: identity.name.clone(),
        domain: identity.domain.clone(),
        region: identity.region.clone(),
        is_ready: reasons.is_empty(),
        is_draining: node.drain.is_draining(),
        not_ready_reasons: reasons.into_iter().map(SmolStr::from).collect(),
        config_offset: node.directory.read(ConfigReplica::next_offset),
        in_flight: node.drain.in_flight() as u64,
        invariant_violations: node.leadership.violations() + node.keys.violations(),
        domains: vec![domain_status(node)],
        backends: backend_statuses(node),
    }
}

fn domain_status(node: &NodeContext) -> DomainStatus {
    let identity = &node.settings.node;
    DomainStatus {
        domain: identity.domain.clone(),
        leader: node.leadership.is_leading().then(|| identity.name.clone()),
        fencing: None,
    }
}

fn backend_statuses(node: &NodeContext) -> Vec<BackendStatus> {
    let Ok(view) = node.directory.view() else {
        return Vec::new();
    };
    let backends = view.list(ResourceKind::Backend);
    backends
        .map(|backend| {
            let name = &backend.key.name;
            let state = node.runners.entry(name).map(|entry| entry.state).unwrap_or_default();
            BackendStatus {
                backend: name.clone(),
                is_eligible: node.vms.availability(name) == Availability::Serving,
                in_flight: 0,
                resident: state.ready.iter().map(artifact_name).collect(),
            }
        })
        .collect()
}

fn artifact_name(artifact: &Artifact) -> SmolStr {
    let adapter = artifact
        .adapter
        .as_ref()
        .map_or_else(SmolStr::default, |adapter| format_smolstr!("+{adapter}"));
    format_smolstr!("{}{adapter}@{}", artifact.model, artifact.version)
}

/// Returns the status of a resource: a model or adapter is `Ready` when at least one runner has its weights ready,
/// any other kind always.
pub(super) fn resource_status(node: &NodeContext, resource: &VersionedResource) -> ResourceStatus {
    let artifact = match &resource.spec {
        ResourceSpec::Model(model) => Some(Artifact {
            model: resource.key.name.clone(),
            adapter: None,
            version: model.serving.clone(),
        }),
        ResourceSpec::Adapter(adapter) => Some(Artifact {
            model: adapter.model.clone(),
            adapter: Some(resource.key.name.clone()),
            version: adapter.version.clone(),
        }),
        _ => None,
    };
    let condition = match artifact {
        Some(artifact) => replica_condition(node.runners.ready(&artifact).len()),
        None => ResourceCondition {
            name: "Ready".into(),
            holds: true,
            reason: "InForce".into(),
            message: String::new(),
        },
    };
    ResourceStatus {
        observed_generation: resource.generation,
        conditions: vec![condition],
    }
}

fn replica_condition(replica_count: usize) -> ResourceCondition {
    let is_ready = replica_count > 0;
    ResourceCondition {
        name: "Ready".into(),
        holds: is_ready,
        reason: if is_ready {
            "ReplicasAnswer".into()
        } else {
            "NoReplica".into()
        },
        message: format!("{replica_count} replicas ready"),
    }
}
