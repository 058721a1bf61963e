//! Frames that a feeder sends to the other nodes of its failure domain, and requests for the configuration of other
//! nodes when the log does not provide it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use mustardgate_core::{
    config::{FeedFrame, choose_feeders},
    ids::NodeId,
    log::SnapshotRecord,
    membership::{MemberStatus, MembershipView},
    ports::{VmEntry, VmRole, VmState},
};

use crate::{context::NodeContext, peers::PeerHub};

/// Longest time between two frames; half of the time without a frame after which a node reads the log itself.
const IDLE_FRAME_INTERVAL: Duration = Duration::from_secs(2);
/// Number of nodes that are asked for their configuration in one round, in the own failure domain and again in the
/// others.
const NODES_PER_ROUND: usize = 3;

/// Merges frames until one is due: at once if it holds a change, otherwise at an interval.
#[derive(Debug, Default)]
pub(super) struct FrameBuffer {
    pending: Option<FeedFrame>,
    last_sent: Option<Instant>,
}

impl FrameBuffer {
    /// Adds a frame; one that does not continue the pending frame replaces it.
    pub fn add(&mut self, frame: FeedFrame) {
        let Some(pending) = self
            .pending
            .as_mut()
            .filter(|pending| pending.span.until == frame.span.from)
        else {
            self.pending = Some(frame);
            return;
        };
        pending.span.until = frame.span.until;
        pending.span.entries.extend(frame.span.entries);
        pending.digest = frame.digest;
    }

    /// Returns the pending frame if it is due.
    pub fn take_due(&mut self, now: Instant) -> Option<FeedFrame> {
        let is_idle = self.pending.as_ref()?.span.entries.is_empty();
        let is_early = self.last_sent.is_some_and(|sent| now < sent + IDLE_FRAME_INTERVAL);
        if is_idle && is_early {
            return None;
        }
        self.last_sent = Some(now);
        self.pending.take()
    }

    /// Drops the pending frame, because this node is not a feeder.
    pub fn clear(&mut self) {
        self.pending = None;
    }
}

/// Returns the feeders of the own failure domain according to the VM list.
pub(super) fn feeders_of(context: &NodeContext) -> Vec<NodeId> {
    let domain = &context.settings.node.domain;
    let is_live =
        |entry: &&VmEntry| entry.role == VmRole::Entry && entry.state == VmState::Live && entry.domain == *domain;
    let live: Vec<NodeId> = context
        .vms
        .read(|view| view.entries().filter(is_live).map(|entry| entry.name.clone()).collect());
    choose_feeders(domain, &live)
}

/// Sends a frame to the nodes of the own failure domain that do not read the log themselves.
pub(super) fn send_frame(context: &NodeContext, hub: &Arc<PeerHub>, feeders: &[NodeId], frame: FeedFrame) {
    let mut targets = context.vms.read(MembershipView::neighbours);
    targets.retain(|entry| !feeders.contains(&entry.name));
    hub.spawn_calls(targets, |peer| async move { peer.config_feed(frame).await });
}

/// Requests the configuration from other nodes in turn, those of the own failure domain first, until one has it; each
/// `round` begins with different nodes.
pub(super) async fn ask_neighbours(
    context: &NodeContext,
    hub: &PeerHub,
    round: usize,
    now: Instant,
) -> Option<SnapshotRecord> {
    for target in nodes_to_ask(context, round, now) {
        let answer = hub
            .call(target.address, |peer| async move { peer.config_state().await })
            .await;
        if let Some(snapshot) = answer.flatten() {
            return Some(snapshot);
        }
    }
    None
}

fn nodes_to_ask(context: &NodeContext, round: usize, now: Instant) -> Vec<VmEntry> {
    let identity = &context.settings.node;
    let is_askable = |view: &MembershipView, entry: &VmEntry| {
        let is_other = entry.role == VmRole::Entry && entry.name != identity.name;
        is_other && view.status(&entry.name, now) == Some(MemberStatus::Live)
    };
    let nodes: Vec<VmEntry> = context.vms.read(|view| {
        let nodes = view.entries().filter(|entry| is_askable(view, entry));
        nodes.cloned().collect()
    });
    let (neighbours, others): (Vec<VmEntry>, Vec<VmEntry>) =
        nodes.into_iter().partition(|entry| entry.domain == identity.domain);
    let selected = [neighbours, others].into_iter().flat_map(|nodes| {
        let first = round * NODES_PER_ROUND % nodes.len().max(1);
        let count = nodes.len().min(NODES_PER_ROUND);
        nodes.into_iter().cycle().skip(first).take(count)
    });
    selected.collect()
}
