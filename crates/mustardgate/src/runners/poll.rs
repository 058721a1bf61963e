//! Reads the reports of runners, and takes their state into routing.

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

/// Time between two reads while the leader of the own failure domain is not heard.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Silence of the leader after which the first node in rank reads.
const FIRST_SILENCE: Duration = Duration::from_secs(4);
/// Silence of the leader after which every node reads.
const LAST_SILENCE: Duration = Duration::from_secs(10);

/// Reads the reports of the own failure domain's engines until `shutdown`, but only while no leader tells of them.
///
/// Runners of other failure domains keep the state that was last told.
pub async fn poll_reports(context: &NodeContext, shutdown: CancellationToken) {
    let mut ticks = time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = ticks.tick() => {}
        }
        if is_left_alone(context) {
            let engines = own_engines(context);
            join_all(engines.iter().map(|backend| read_report(context, backend))).await;
        }
    }
}

/// Returns whether this node has to read the reports itself; a leader reads them for its own purposes.
fn is_left_alone(context: &NodeContext) -> bool {
    if context.leadership.is_leading() {
        return false;
    }
    let now = clock::now();
    let is_unknown = context.reports.is_unknown(&context.settings.node.domain);
    let is_first = context
        .vms
        .read(|view| view.is_speaker(now) || view.entries().next().is_none());
    let silence = context.reports.silence(now);
    if is_first {
        return is_unknown || silence >= FIRST_SILENCE;
    }
    silence >= LAST_SILENCE
}

fn own_engines(context: &NodeContext) -> Vec<BackendId> {
    let Ok(view) = context.directory.view() else {
        return Vec::new();
    };
    let own = &context.settings.node.domain;
    let is_engine = |spec: &ResourceSpec| match spec {
        ResourceSpec::Backend(backend) => backend.role == BackendRole::Engine && backend.domain == *own,
        _ => false,
    };
    let backends = view
        .list(ResourceKind::Backend)
        .filter(|resource| is_engine(&resource.spec));
    backends.map(|resource| resource.key.name.clone()).collect()
}

async fn read_report(context: &NodeContext, backend: &BackendId) {
    let asked = clock::now();
    let Ok(report) = context.engines.report(backend).await else {
        return;
    };
    take_report(context, backend, &report, asked);
}

/// Takes a report that this node read into routing and status, and has the other nodes told when it leads.
pub fn take_report(context: &NodeContext, backend: &BackendId, report: &EngineReport, measured_at: Instant) {
    let Ok(view) = context.directory.view() else { return };
    let Some(spec) = view.backend(backend) else { return };
    let state = RunnerState::from_report(report);
    context.reports.observe(&spec.domain, backend, &state);
    take_state(context, backend, state, measured_at);
}

/// Takes the state of a runner, read by this node or told by a leader, into routing and status.
pub fn take_state(context: &NodeContext, backend: &BackendId, state: RunnerState, measured_at: Instant) {
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

/// Takes the declared instances of plain services into routing, and forgets what is no longer declared.
pub fn take_declarations(context: &NodeContext) {
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
    for gone in book.keys().filter(|backend| !addresses.contains_key(*backend)) {
        context.selector.remove_runner(gone);
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
