//! Reads the reports of runners in turn.

use futures::future::join_all;
use mustardgate_core::{
    clock,
    ids::BackendId,
    ports::EngineReport,
    resources::{BackendRole, BackendSpec, ResourceKind, ResourceSpec},
    routing::{LoadReport, RunnerProfile, service_artifact},
};
use tokio::time::{self, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::context::NodeContext;

/// Reads the reports of the declared engines, once an interval, until `shutdown`.
pub async fn poll_reports(context: &NodeContext, shutdown: CancellationToken) {
    let mut ticks = time::interval(context.settings.backends.report());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let engines = declared_engines(context);
        join_all(engines.iter().map(|backend| read_report(context, backend))).await;
    }
}

fn declared_engines(context: &NodeContext) -> Vec<BackendId> {
    let Ok(view) = context.directory.view() else {
        return Vec::new();
    };
    let own = &context.settings.node.domain;
    let is_leading = context.leadership.is_leading();
    // A leader reads the reports of its own domain for its own purposes, and routing gets them from there.
    let is_engine = |spec: &ResourceSpec| match spec {
        ResourceSpec::Backend(backend) => {
            backend.role == BackendRole::Engine && !(is_leading && backend.domain == *own)
        }
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
    take_report(context, backend, report, asked);
}

/// Takes a report, read by this node or by a neighbour, into routing and status.
pub fn take_report(context: &NodeContext, backend: &BackendId, report: EngineReport, measured_at: std::time::Instant) {
    let Ok(view) = context.directory.view() else { return };
    let Some(spec) = view.backend(backend) else { return };
    let load = LoadReport {
        measured_at,
        outstanding: report.running + report.waiting,
    };
    let ready = report.resident.iter().filter(|resident| resident.is_ready);
    let profile = profile_of(backend, spec, ready.map(|resident| resident.artifact.clone()).collect());
    context.selector.upsert_runner(profile);
    context
        .selector
        .set_availability(backend, context.vms.availability(backend));
    context.selector.apply_report(backend, load);
    context.board.update(backend, report, measured_at);
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
