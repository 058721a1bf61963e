//! The visible list of a node's tasks.

use std::sync::Arc;

use mustardgate_core::{
    ids::BackendId,
    resources::{BackendRole, ResourceKind, ResourceSpec},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{configuration::follow_configuration, context::NodeContext, runners::poll_reports};

/// Spawns every task of the node; each ends when `shutdown` is cancelled.
pub(super) fn spawn_tasks(node: &Arc<NodeContext>, tracker: &TaskTracker, shutdown: &CancellationToken) {
    tracker.spawn(follow_configuration(Arc::clone(node), rand::random(), shutdown.clone()));
    tracker.spawn(keep_addresses(Arc::clone(node), shutdown.clone()));
    tracker.spawn(poll_runners(Arc::clone(node), shutdown.clone()));
}

/// Keeps the address book equal to the declarations.
async fn keep_addresses(node: Arc<NodeContext>, shutdown: CancellationToken) {
    let mut applied = node.directory.watch_applied();
    loop {
        refresh_addresses(&node);
        tokio::select! {
            () = shutdown.cancelled() => return,
            changed = applied.changed() => if changed.is_err() { return },
        }
    }
}

fn refresh_addresses(node: &NodeContext) {
    let Ok(view) = node.directory.view() else { return };
    let declared = view
        .list(ResourceKind::Backend)
        .filter_map(|resource| match &resource.spec {
            ResourceSpec::Backend(backend) => Some((resource.key.name.clone(), backend.address)),
            _ => None,
        });
    *node.addresses.write().expect("no holder panics") = declared.collect();
    node.board.retain(|backend| view.backend(backend).is_some());
}

async fn poll_runners(node: Arc<NodeContext>, shutdown: CancellationToken) {
    let interval = node.settings.backends.report();
    poll_reports(
        &node.board,
        &*node.engines,
        || declared_engines(&node),
        interval,
        shutdown,
    )
    .await;
}

fn declared_engines(node: &NodeContext) -> Vec<BackendId> {
    let Ok(view) = node.directory.view() else {
        return Vec::new();
    };
    let backends = view.list(ResourceKind::Backend);
    backends
        .filter(|resource| match &resource.spec {
            ResourceSpec::Backend(backend) => backend.role == BackendRole::Engine,
            _ => false,
        })
        .map(|resource| resource.key.name.clone())
        .collect()
}
