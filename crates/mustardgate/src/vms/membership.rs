//! The membership view of the node.

use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use mustardgate_core::{
    ids::{BackendId, NodeId},
    membership::{
        DomainDigest, MemberStatus, MembershipSettings, MembershipView, NodeHeartbeat, PropagationScope,
        default_suspicion,
    },
    ports::{VmEntry, VmRole},
    routing::Availability,
};
use tokio::sync::Notify;

use crate::settings::NodeSettings;

/// The platform's VM list merged with the observations of other nodes, shared by all tasks of the node.
#[derive(Debug)]
pub struct VmMembership {
    view: Mutex<MembershipView>,
    propagation: Notify,
}

/// Nodes whose suspicion changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspicionChanges {
    /// Nodes that became suspected.
    pub suspected: Vec<NodeId>,
    /// Nodes that are no longer suspected.
    pub trusted: Vec<NodeId>,
}

impl VmMembership {
    /// Creates the membership of a node that has no VM list yet.
    pub fn new(settings: &NodeSettings) -> Self {
        let intervals = MembershipSettings {
            heartbeat_interval: settings.peers.heartbeat_interval(),
            digest_interval: settings.peers.digest_interval(),
            ..MembershipSettings::default()
        };
        let identity = &settings.node;
        let view = MembershipView::new(
            identity.name.clone(),
            identity.domain.clone(),
            intervals,
            default_suspicion(),
        );
        Self {
            view: Mutex::new(view),
            propagation: Notify::new(),
        }
    }

    /// Applies a VM list; returns whether the availability of backend servers may have changed.
    pub fn list_fetched(&self, entries: &[VmEntry], now: Instant) -> bool {
        self.change(|view| view.list_fetched(entries, now))
    }

    /// Applies a heartbeat; returns whether the availability of backend servers may have changed.
    pub fn heartbeat_received(&self, heartbeat: &NodeHeartbeat, now: Instant) -> bool {
        self.change(|view| view.heartbeat_received(heartbeat, now))
    }

    /// Applies a digest; returns whether the availability of backend servers may have changed.
    pub fn digest_received(&self, digest: &DomainDigest, now: Instant) -> bool {
        self.change(|view| view.digest_received(digest, now))
    }

    /// Drops marks that are too old; returns whether the availability of backend servers may have changed.
    pub fn tick(&self, now: Instant) -> bool {
        self.change(|view| view.tick(now))
    }

    /// Returns whether a backend server may get new work. Before the first list every declared one may, because a node
    /// that is cut off from the platform must continue to serve.
    pub fn availability(&self, backend: &BackendId) -> Availability {
        let view = self.view();
        if view.entries().next().is_none() || view.takes_new_work(backend) {
            return Availability::Serving;
        }
        Availability::Leaving
    }

    /// Reads the view.
    pub fn read<T>(&self, reader: impl FnOnce(&MembershipView) -> T) -> T {
        reader(&self.view())
    }

    /// Returns the next heartbeat to the nodes of the own failure domain.
    pub fn next_heartbeat(&self, now: Instant) -> NodeHeartbeat {
        self.view().next_heartbeat(now)
    }

    /// Waits for new marks that are to be propagated before the next interval, and returns how far.
    pub async fn wait_for_propagation(&self) -> PropagationScope {
        loop {
            let scope = self.view().take_propagation();
            if scope != PropagationScope::None {
                return scope;
            }
            self.propagation.notified().await;
        }
    }

    /// Replaces the set of suspected nodes by the current one, and returns the differences.
    pub fn update_suspected(&self, suspected: &mut BTreeSet<NodeId>, now: Instant) -> SuspicionChanges {
        let current = self.read(|view| suspected_nodes(view, now));
        let changes = SuspicionChanges {
            suspected: current.difference(suspected).cloned().collect(),
            trusted: suspected.difference(&current).cloned().collect(),
        };
        *suspected = current;
        changes
    }

    fn change(&self, change: impl FnOnce(&mut MembershipView)) -> bool {
        let mut view = self.view();
        let revision = view.revision();
        change(&mut view);
        let has_changed = view.revision() != revision;
        drop(view);
        if has_changed {
            self.propagation.notify_one();
        }
        has_changed
    }

    fn view(&self) -> MutexGuard<'_, MembershipView> {
        self.view.lock().expect("no holder panics")
    }
}

fn suspected_nodes(view: &MembershipView, now: Instant) -> BTreeSet<NodeId> {
    let nodes = view.entries().filter(|entry| entry.role == VmRole::Entry);
    let suspected = nodes.filter(|entry| view.status(&entry.name, now) == Some(MemberStatus::Suspected));
    suspected.map(|entry| entry.name.clone()).collect()
}
