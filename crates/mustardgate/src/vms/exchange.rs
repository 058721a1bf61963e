//! The tasks that tell other nodes what this one knows of the VMs.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ids::NodeId,
    leader::LeaderEvent,
    membership::{MembershipView, PropagationScope},
    ports::{VmEntry, VmRole},
};
use slog::o;
use tokio::{
    sync::mpsc::UnboundedSender,
    time::{self, Interval, MissedTickBehavior},
};
use tokio_util::sync::CancellationToken;

use super::poll::apply_availability;
use crate::{context::NodeContext, events, peers::PeerHub};

/// Sends heartbeats and digests, and watches over suspicion, until `shutdown`.
pub async fn exchange_membership(
    context: Arc<NodeContext>,
    hub: Arc<PeerHub>,
    leader: UnboundedSender<LeaderEvent>,
    shutdown: CancellationToken,
) {
    let mut exchange = MembershipExchange {
        context,
        hub,
        leader,
        suspected: BTreeSet::new(),
        is_successor: false,
    };
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = exchange.run() => {}
    }
}

#[derive(Debug)]
struct MembershipExchange {
    context: Arc<NodeContext>,
    hub: Arc<PeerHub>,
    leader: UnboundedSender<LeaderEvent>,
    suspected: BTreeSet<NodeId>,
    is_successor: bool,
}

impl MembershipExchange {
    async fn run(&mut self) {
        let context = Arc::clone(&self.context);
        let mut heartbeats = interval(context.settings.peers.heartbeat());
        let mut digests = interval(context.settings.peers.digest());
        loop {
            tokio::select! {
                _ = heartbeats.tick() => self.on_interval(),
                _ = digests.tick() => self.send_due_digests(),
                scope = context.vms.wait_for_news() => self.send_news(scope),
            }
        }
    }

    fn on_interval(&mut self) {
        let now = clock::now();
        if self.context.vms.tick(now) {
            apply_availability(&self.context);
        }
        self.report_suspicion(now);
        self.report_succession(now);
        self.hub.retain(&self.context.vms.read(node_addresses));
        let targets = self.context.vms.read(|view| view.heartbeat_targets(now));
        self.send_heartbeat(targets, now);
    }

    fn send_due_digests(&self) {
        let now = clock::now();
        if self.context.vms.read(|view| view.is_speaker(now)) {
            self.send_digest(now);
        }
    }

    fn send_news(&self, scope: PropagationScope) {
        let now = clock::now();
        if scope >= PropagationScope::OwnDomain {
            self.send_heartbeat(self.context.vms.read(MembershipView::neighbours), now);
        }
        if scope == PropagationScope::AllDomains {
            self.send_digest(now);
        }
    }

    fn send_heartbeat(&self, targets: Vec<VmEntry>, now: Instant) {
        let heartbeat = self.context.vms.next_heartbeat(now);
        self.hub
            .spawn_calls(targets, |peer| async move { peer.heartbeat(heartbeat).await });
    }

    fn send_digest(&self, now: Instant) {
        let (targets, digest) = self
            .context
            .vms
            .read(|view| (view.digest_targets(now), view.digest(now)));
        self.hub
            .spawn_calls(targets, |peer| async move { peer.digest(digest).await });
    }

    fn report_suspicion(&mut self, now: Instant) {
        let changes = self.context.vms.review_suspicion(&mut self.suspected, now);
        for node in changes.suspected {
            events::PEER_SUSPECTED.write(&self.context.logger, o!("peer" => node.to_string()));
        }
        for node in changes.trusted {
            events::PEER_TRUSTED.write(&self.context.logger, o!("peer" => node.to_string()));
        }
    }

    /// Without the log, the speaker of the failure domain succeeds a leader whose lease cannot be renewed.
    fn report_succession(&mut self, now: Instant) {
        let is_successor = self.context.tail.is_away() && self.context.vms.read(|view| view.is_speaker(now));
        if is_successor != self.is_successor {
            self.is_successor = is_successor;
            // The receiver is gone only when the node stops.
            drop(self.leader.send(LeaderEvent::SuccessorChanged(is_successor)));
        }
    }
}

fn interval(period: Duration) -> Interval {
    let mut interval = time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

fn node_addresses(view: &MembershipView) -> BTreeSet<SocketAddr> {
    let nodes = view.entries().filter(|entry| entry.role == VmRole::Entry);
    nodes.map(|entry| entry.address).collect()
}
