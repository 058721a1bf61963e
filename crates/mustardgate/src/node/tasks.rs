//! Spawns the tasks of a node.

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
    tracker.spawn(follow_declarations(Arc::clone(node), shutdown.clone()));
    tracker.spawn(run_list_poll(Arc::clone(node), shutdown.clone()));
    tracker.spawn(run_report_poll(Arc::clone(node), shutdown.clone()));
    tracker.spawn(exchange_reports(Arc::clone(node), Arc::clone(hub), shutdown.clone()));
    tracker.spawn(run_queue_review(Arc::clone(node), shutdown.clone()));
    tracker.spawn(append_batches(
        Arc::clone(&node.keys),
        Arc::clone(&node.log),
        shutdown.clone(),
    ));
    spawn_leader(node, hub, tracker, shutdown);
}

/// Spawns the leader task, the membership exchange that sends it events, and the log reader, whose records the leader
/// task and the idempotency keys observe.
fn spawn_leader(node: &Arc<NodeContext>, hub: &Arc<PeerHub>, tracker: &TaskTracker, shutdown: &CancellationToken) {
    let (event_sender, event_receiver, leader_observer) = leader_channel();
    tracker.spawn(exchange_membership(
        Arc::clone(node),
        Arc::clone(hub),
        event_sender.clone(),
        shutdown.clone(),
    ));
    let task = LeaderTask::new(Arc::clone(node), event_sender, rand::random());
    tracker.spawn(task.run(event_receiver, shutdown.clone()));
    let key_observer: Arc<dyn RecordObserver> = Arc::clone(&node.keys) as Arc<dyn RecordObserver>;
    let observers = vec![key_observer, leader_observer];
    tracker.spawn(follow_records(
        Arc::clone(&node.log),
        Arc::clone(&node.tail),
        observers,
        shutdown.clone(),
    ));
}

/// Updates routing with the declared backend servers and their availability, now and after each configuration update.
async fn follow_declarations(node: Arc<NodeContext>, shutdown: CancellationToken) {
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

async fn run_list_poll(node: Arc<NodeContext>, shutdown: CancellationToken) {
    poll_list(&node, shutdown).await;
}

async fn run_report_poll(node: Arc<NodeContext>, shutdown: CancellationToken) {
    poll_reports(&node, shutdown).await;
}

async fn run_queue_review(node: Arc<NodeContext>, shutdown: CancellationToken) {
    node.admission.review_until(shutdown).await;
}
