//! The tasks that tell other nodes of the runners, and that make up for a leader that is not heard.

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

use super::poll::take_state;
use crate::{context::NodeContext, peers::PeerHub};

/// Interval at which the leader looks for frames that are due.
const FRAME_TICK: Duration = Duration::from_millis(100);
/// Interval at which a node tells its demand, and asks for domains that it knows nothing of.
const DEMAND_INTERVAL: Duration = Duration::from_secs(2);

/// Tells other nodes of the runners and the leader of the demand, until `shutdown`.
pub async fn exchange_reports(context: Arc<NodeContext>, hub: Arc<PeerHub>, shutdown: CancellationToken) {
    let mut frames = time::interval(FRAME_TICK);
    let mut demands = time::interval(DEMAND_INTERVAL);
    frames.set_missed_tick_behavior(MissedTickBehavior::Delay);
    demands.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = frames.tick() => send_frames(&context, &hub),
            _ = demands.tick() => {
                send_demand(&context, &hub);
                ask_for_unknown(&context, &hub);
            }
        }
    }
}

/// Takes in a frame; a node that is told by the leader of another failure domain passes it on to its neighbours.
///
/// The catalogue is asked for in a task of its own, so that the sender does not wait for a call back to it.
pub fn take_frame(context: &Arc<NodeContext>, hub: &Arc<PeerHub>, frame: ReportFrame) {
    let now = clock::now();
    match context.reports.on_frame(&frame, now) {
        FrameOutcome::Applied(updates) => {
            for (backend, state) in updates {
                take_state(context, &backend, state, now);
            }
            pass_on(context, hub, frame);
        }
        FrameOutcome::CatalogueNeeded => {
            let (context, hub) = (Arc::clone(context), Arc::clone(hub));
            tokio::spawn(async move {
                if let Some(sender) = context.vms.read(|view| node_named(view, &frame.sender)) {
                    ask_catalogue(&context, &hub, &sender, frame.domain.clone()).await;
                }
                pass_on(&context, &hub, frame);
            });
        }
    }
}

fn pass_on(context: &NodeContext, hub: &Arc<PeerHub>, frame: ReportFrame) {
    if frame.domain == context.settings.node.domain || frame.sender != frame.leader {
        return;
    }
    let sender = context.settings.node.name.clone();
    let passed = ReportFrame { sender, ..frame };
    let neighbours = context.vms.read(MembershipView::neighbours);
    hub.tell(neighbours, |peer| async move { peer.report_frame(passed).await });
}

fn send_frames(context: &NodeContext, hub: &Arc<PeerHub>) {
    let now = clock::now();
    for (audience, frame) in context.reports.take_frames(context.leadership.is_leading(), now) {
        let targets = context.vms.read(|view| match audience {
            ReportAudience::Neighbours => view.neighbours(),
            ReportAudience::Relays => view.digest_targets(now),
        });
        hub.tell(targets, |peer| async move { peer.report_frame(frame).await });
    }
}

/// Tells the leader what this node counted. Counts whose call fails are not told again, because they may have arrived.
fn send_demand(context: &NodeContext, hub: &Arc<PeerHub>) {
    let counts = context.demand.take_untold();
    if counts.is_empty() || context.leadership.is_leading() {
        return;
    }
    let Some(leader) = context.reports.leader() else { return };
    let target = context.vms.read(|view| node_named(view, &leader));
    let node = context.settings.node.name.clone();
    let report = DemandReport { node, counts };
    hub.tell(
        target.into_iter().collect(),
        |peer| async move { peer.demand(report).await },
    );
}

/// Asks the first neighbour in rank for each failure domain that this node knows nothing of.
fn ask_for_unknown(context: &Arc<NodeContext>, hub: &Arc<PeerHub>) {
    let own = &context.settings.node.name;
    let now = clock::now();
    let is_led_here = |domain: &DomainId| context.leadership.is_leading() && *domain == context.settings.node.domain;
    let targets = context.vms.read(|view| view.heartbeat_targets(now));
    let Some(target) = targets.into_iter().find(|entry| entry.name != *own) else {
        return;
    };
    for domain in engine_domains(context) {
        if context.reports.is_unknown(&domain) && !is_led_here(&domain) {
            let (context, hub, target) = (Arc::clone(context), Arc::clone(hub), target.clone());
            tokio::spawn(async move { ask_catalogue(&context, &hub, &target, domain).await });
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

async fn ask_catalogue(context: &NodeContext, hub: &PeerHub, target: &VmEntry, domain: DomainId) {
    let answer = hub
        .call(
            target.address,
            |peer| async move { peer.report_catalogue(domain).await },
        )
        .await;
    let Some(catalogue) = answer.flatten() else { return };
    let now = clock::now();
    for (backend, state) in context.reports.on_catalogue(catalogue) {
        take_state(context, &backend, state, now);
    }
}

fn node_named(view: &MembershipView, name: &str) -> Option<VmEntry> {
    view.entries().find(|entry| entry.name == name).cloned()
}
