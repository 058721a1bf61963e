//! The task that sends runner reports and demand to other nodes, and requests catalogues that this node lacks.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use mustardgate_core::{
    clock,
    ids::DomainId,
    membership::MembershipView,
    ports::VmEntry,
    reports::{DemandReport, FrameOutcome, ReportAudience, ReportFrame},
    resources::{BackendRole, ResourceKind, ResourceSpec},
};
use tokio::time::{self, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use super::poll::apply_state;
use crate::{context::NodeContext, peers::PeerHub};

/// Interval at which the leader checks for frames that are due.
const FRAME_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a node reports its demand, and requests the catalogues of domains for which it has none.
const DEMAND_INTERVAL: Duration = Duration::from_secs(2);

/// Sends frames, reports demand to the leader and requests missing catalogues, until `shutdown`.
pub async fn exchange_reports(context: Arc<NodeContext>, hub: Arc<PeerHub>, shutdown: CancellationToken) {
    let mut frames = time::interval(FRAME_CHECK_INTERVAL);
    let mut demands = time::interval(DEMAND_INTERVAL);
    frames.set_missed_tick_behavior(MissedTickBehavior::Delay);
    demands.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = frames.tick() => send_frames(&context, &hub),
            _ = demands.tick() => {
                send_demand(&context, &hub);
                request_missing_catalogues(&context, &hub);
            }
        }
    }
}

/// Applies a frame; one that the leader of another failure domain sent itself is forwarded to the neighbours.
///
/// A missing catalogue is requested in a separate task, so that the sender does not wait for a call back to itself.
pub fn apply_frame(context: &Arc<NodeContext>, hub: &Arc<PeerHub>, frame: ReportFrame) {
    let now = clock::now();
    match context.reports.on_frame(&frame, now) {
        FrameOutcome::Applied(updates) => {
            for (backend, state) in updates {
                apply_state(context, &backend, state, now);
            }
            forward_frame(context, hub, frame);
        }
        FrameOutcome::CatalogueNeeded => {
            let (context, hub) = (Arc::clone(context), Arc::clone(hub));
            tokio::spawn(async move {
                if let Some(sender) = context.vms.read(|view| find_node(view, &frame.sender)) {
                    request_catalogue(&context, &hub, &sender, frame.domain.clone()).await;
                }
                forward_frame(&context, &hub, frame);
            });
        }
    }
}

fn forward_frame(context: &NodeContext, hub: &Arc<PeerHub>, frame: ReportFrame) {
    if frame.domain == context.settings.node.domain || frame.sender != frame.leader {
        return;
    }
    let sender = context.settings.node.name.clone();
    let forwarded = ReportFrame { sender, ..frame };
    let neighbours = context.vms.read(MembershipView::neighbours);
    hub.spawn_calls(neighbours, |peer| async move { peer.report_frame(forwarded).await });
}

fn send_frames(context: &NodeContext, hub: &Arc<PeerHub>) {
    let now = clock::now();
    for (audience, frame) in context.reports.take_frames(context.leadership.is_leading(), now) {
        let targets = context.vms.read(|view| match audience {
            ReportAudience::Neighbours => view.neighbours(),
            ReportAudience::Relays => view.digest_targets(now),
        });
        hub.spawn_calls(targets, |peer| async move { peer.report_frame(frame).await });
    }
}

/// Reports this node's counts to the leader. Counts whose call fails are not sent again, because they may have arrived.
fn send_demand(context: &NodeContext, hub: &Arc<PeerHub>) {
    let counts = context.demand.take_unreported();
    if counts.is_empty() || context.leadership.is_leading() {
        return;
    }
    let Some(leader) = context.reports.leader() else { return };
    let target = context.vms.read(|view| find_node(view, &leader));
    let node = context.settings.node.name.clone();
    let report = DemandReport { node, counts };
    hub.spawn_calls(
        target.into_iter().collect(),
        |peer| async move { peer.demand(report).await },
    );
}

/// Requests each catalogue that this node lacks from the first other node among its heartbeat targets.
fn request_missing_catalogues(context: &Arc<NodeContext>, hub: &Arc<PeerHub>) {
    let own_name = &context.settings.node.name;
    let now = clock::now();
    let is_led_here = |domain: &DomainId| context.leadership.is_leading() && *domain == context.settings.node.domain;
    let targets = context.vms.read(|view| view.heartbeat_targets(now));
    let Some(target) = targets.into_iter().find(|entry| entry.name != *own_name) else {
        return;
    };
    for domain in engine_domains(context) {
        if context.reports.lacks_catalogue(&domain) && !is_led_here(&domain) {
            let (context, hub, target) = (Arc::clone(context), Arc::clone(hub), target.clone());
            tokio::spawn(async move { request_catalogue(&context, &hub, &target, domain).await });
        }
    }
}

fn engine_domains(context: &NodeContext) -> BTreeSet<DomainId> {
    let Ok(view) = context.directory.view() else {
        return BTreeSet::new();
    };
    let backends = view.list(ResourceKind::Backend);
    let domains = backends.filter_map(|resource| match &resource.spec {
        ResourceSpec::Backend(spec) if spec.role == BackendRole::Engine => Some(spec.domain.clone()),
        _ => None,
    });
    domains.collect()
}

async fn request_catalogue(context: &NodeContext, hub: &PeerHub, target: &VmEntry, domain: DomainId) {
    let answer = hub
        .call(
            target.address,
            |peer| async move { peer.report_catalogue(domain).await },
        )
        .await;
    let Some(catalogue) = answer.flatten() else { return };
    let now = clock::now();
    for (backend, state) in context.reports.on_catalogue(catalogue) {
        apply_state(context, &backend, state, now);
    }
}

fn find_node(view: &MembershipView, name: &str) -> Option<VmEntry> {
    view.entries().find(|entry| entry.name == name).cloned()
}
