//! The visible list of a node's tasks.

use std::sync::Arc;

use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    configuration::follow_configuration,
    context::NodeContext,
    keys::append_batches,
    leader::{LeaderTask, leader_channel},
    peers::PeerHub,
    records::{RecordObserver, follow_records},
    runners::{apply_declarations, exchange_reports, poll_reports},
    vms::{apply_availability, exchange_membership, poll_list},
};

/// Spawns every task of the node; each ends when `shutdown` is cancelled.
pub(super) fn spawn_tasks(
    node: &Arc<NodeContext>,
    hub: &Arc<PeerHub>,
    tracker: &TaskTracker,
    shutdown: &CancellationToken,
) {
    tracker.spawn(follow_configuration(
        Arc::clone(node),
        Arc::clone(hub),
        rand::random(),
        shutdown.clone(),
    ));
    tracker.spawn(keep_declarations(Arc::clone(node), shutdown.clone()));
    tracker.spawn(keep_list(Arc::clone(node), shutdown.clone()));
    tracker.spawn(keep_reports(Arc::clone(node), shutdown.clone()));
    tracker.spawn(exchange_reports(Arc::clone(node), Arc::clone(hub), shutdown.clone()));
    tracker.spawn(review_queue(Arc::clone(node), shutdown.clone()));
    tracker.spawn(append_batches(
        Arc::clone(&node.keys),
        Arc::clone(&node.log),
        shutdown.clone(),
    ));
    spawn_leader(node, hub, tracker, shutdown);
}

/// Spawns the leader role, and the reader of the log that the role and the keys follow.
fn spawn_leader(node: &Arc<NodeContext>, hub: &Arc<PeerHub>, tracker: &TaskTracker, shutdown: &CancellationToken) {
    let (sender, receiver, observer) = leader_channel();
    tracker.spawn(exchange_membership(
        Arc::clone(node),
        Arc::clone(hub),
        sender.clone(),
        shutdown.clone(),
    ));
    let role = LeaderTask::new(Arc::clone(node), sender, rand::random());
    tracker.spawn(role.run(receiver, shutdown.clone()));
    let keys: Arc<dyn RecordObserver> = Arc::clone(&node.keys) as Arc<dyn RecordObserver>;
    let observers = vec![keys, observer];
    tracker.spawn(follow_records(
        Arc::clone(&node.log),
        Arc::clone(&node.tail),
        observers,
        shutdown.clone(),
    ));
}

/// Keeps routing equal to the declarations.
async fn keep_declarations(node: Arc<NodeContext>, shutdown: CancellationToken) {
    let mut applied = node.directory.watch_applied();
    loop {
        apply_declarations(&node);
        apply_availability(&node);
        tokio::select! {
            () = shutdown.cancelled() => return,
            changed = applied.changed() => if changed.is_err() { return },
        }
    }
}

async fn keep_list(node: Arc<NodeContext>, shutdown: CancellationToken) {
    poll_list(&node, shutdown).await;
}

async fn keep_reports(node: Arc<NodeContext>, shutdown: CancellationToken) {
    poll_reports(&node, shutdown).await;
}

async fn review_queue(node: Arc<NodeContext>, shutdown: CancellationToken) {
    node.desk.review_until(shutdown).await;
}
