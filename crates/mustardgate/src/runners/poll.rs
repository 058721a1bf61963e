//! Reads the reports of runners, and applies their state to routing and the runner table.

use std::time::{Duration, Instant};

use futures::future::join_all;
use mustardgate_core::{
    clock,
    ids::BackendId,
    ports::EngineReport,
    reports::RunnerState,
    resources::{BackendRole, BackendSpec, ResourceKind, ResourceSpec},
    routing::{LoadReport, RunnerProfile, service_artifact},
};
use tokio::time::{self, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::context::NodeContext;

/// Time between two reads while no frames of the own failure domain's leader arrive.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time without frames from the leader after which the speaker of the failure domain, or a node without a VM list,
/// reads.
const SPEAKER_SILENCE: Duration = Duration::from_secs(4);
/// Time without frames from the leader after which every node reads.
const NODE_SILENCE: Duration = Duration::from_secs(10);

/// Reads the reports of the own failure domain's engines until `shutdown`, but only while no leader sends them.
///
/// Runners of other failure domains keep the state that was last received.
pub async fn poll_reports(context: &NodeContext, shutdown: CancellationToken) {
    let mut ticks = time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = ticks.tick() => {}
        }
        if needs_poll(context) {
            let engines = own_engines(context);
            join_all(engines.iter().map(|backend| read_report(context, backend))).await;
        }
    }
}

/// Returns whether this task has to read the reports; a leading node already reads them in its leader task.
fn needs_poll(context: &NodeContext) -> bool {
    if context.leadership.is_leading() {
        return false;
    }
    let now = clock::now();
    let lacks_catalogue = context.reports.lacks_catalogue(&context.settings.node.domain);
    let polls_first = context
        .vms
        .read(|view| view.is_speaker(now) || view.entries().next().is_none());
    let silence = context.reports.silence(now);
    if polls_first {
        return lacks_catalogue || silence >= SPEAKER_SILENCE;
    }
    silence >= NODE_SILENCE
}

fn own_engines(context: &NodeContext) -> Vec<BackendId> {
    let Ok(view) = context.directory.view() else {
        return Vec::new();
    };
    let own_domain = &context.settings.node.domain;
    let is_engine = |spec: &ResourceSpec| match spec {
        ResourceSpec::Backend(backend) => backend.role == BackendRole::Engine && backend.domain == *own_domain,
        _ => false,
    };
    let backends = view
        .list(ResourceKind::Backend)
        .filter(|resource| is_engine(&resource.spec));
    backends.map(|resource| resource.key.name.clone()).collect()
}

async fn read_report(context: &NodeContext, backend: &BackendId) {
    let requested_at = clock::now();
    let Ok(report) = context.engines.report(backend).await else {
        return;
    };
    apply_report(context, backend, &report, requested_at);
}

/// Applies a report that this node read to routing and the runner table, and publishes it if this node leads.
pub fn apply_report(context: &NodeContext, backend: &BackendId, report: &EngineReport, measured_at: Instant) {
    let Ok(view) = context.directory.view() else { return };
    let Some(spec) = view.backend(backend) else { return };
    let state = RunnerState::from_report(report);
    context.reports.observe(&spec.domain, backend, &state);
    apply_state(context, backend, state, measured_at);
}

/// Applies the state of a runner, read by this node or received from a leader, to routing and the runner table.
pub fn apply_state(context: &NodeContext, backend: &BackendId, state: RunnerState, measured_at: Instant) {
    let Ok(view) = context.directory.view() else { return };
    let Some(spec) = view.backend(backend) else { return };
    let load = LoadReport {
        measured_at,
        outstanding: state.outstanding,
    };
    let profile = profile_of(backend, spec, state.ready.iter().cloned().collect());
    context.selector.upsert_runner(profile);
    context
        .selector
        .set_availability(backend, context.vms.availability(backend));
    context.selector.apply_report(backend, load);
    context.board.update(backend, state, measured_at);
}

/// Applies the declared backend servers to routing and the address book, and removes those no longer declared.
///
/// Only instances of plain services are added to routing here; an engine is added with its first state.
pub fn apply_declarations(context: &NodeContext) {
    let Ok(view) = context.directory.view() else { return };
    let declared = view
        .list(ResourceKind::Backend)
        .filter_map(|resource| match &resource.spec {
            ResourceSpec::Backend(backend) => Some((resource.key.name.clone(), backend.clone())),
            _ => None,
        });
    let mut addresses = std::collections::BTreeMap::new();
    for (backend, spec) in declared {
        if let BackendRole::Plain(service) = &spec.role {
            context
                .selector
                .upsert_runner(profile_of(&backend, &spec, vec![service_artifact(service)]));
        }
        addresses.insert(backend, spec.address);
    }
    let mut book = context.addresses.write().expect("no holder panics");
    for undeclared in book.keys().filter(|backend| !addresses.contains_key(*backend)) {
        context.selector.remove_runner(undeclared);
    }
    *book = addresses;
    context.board.retain(|backend| view.backend(backend).is_some());
}

fn profile_of(backend: &BackendId, spec: &BackendSpec, ready: Vec<mustardgate_core::log::Artifact>) -> RunnerProfile {
    RunnerProfile {
        backend: backend.clone(),
        domain: spec.domain.clone(),
        region: spec.region.clone(),
        max_concurrency: spec.max_concurrency,
        ready,
    }
}
