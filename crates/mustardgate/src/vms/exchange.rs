//! The task that sends heartbeats and digests about the VMs to other nodes.

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

/// Sends heartbeats and digests, and logs changes of suspicion, until `shutdown`.
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
        let mut heartbeats = interval(context.settings.peers.heartbeat_interval());
        let mut digests = interval(context.settings.peers.digest_interval());
        loop {
            tokio::select! {
                _ = heartbeats.tick() => self.on_heartbeat_interval(),
                _ = digests.tick() => self.send_due_digests(),
                scope = context.vms.wait_for_propagation() => self.propagate(scope),
            }
        }
    }

    fn on_heartbeat_interval(&mut self) {
        let now = clock::now();
        if self.context.vms.tick(now) {
            apply_availability(&self.context);
        }
        self.log_suspicion(now);
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

    fn propagate(&self, scope: PropagationScope) {
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

    fn log_suspicion(&mut self, now: Instant) {
        let changes = self.context.vms.update_suspected(&mut self.suspected, now);
        for node in changes.suspected {
            events::PEER_SUSPECTED.write(&self.context.logger, o!("peer" => node.to_string()));
        }
        for node in changes.trusted {
            events::PEER_TRUSTED.write(&self.context.logger, o!("peer" => node.to_string()));
        }
    }

    /// Tells the leader role whether this node is the successor: the speaker of the failure domain is, while the log is
    /// unavailable and no leader can renew its lease.
    fn report_succession(&mut self, now: Instant) {
        let is_successor = self.context.tail.is_log_unavailable() && self.context.vms.read(|view| view.is_speaker(now));
        if is_successor != self.is_successor {
            self.is_successor = is_successor;
            // Sending fails only while the node stops.
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
