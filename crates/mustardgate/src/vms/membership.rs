//! The node's view of the VMs, shared by all of its tasks.

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

/// The platform's list merged with what other nodes have seen.
#[derive(Debug)]
pub struct VmMembership {
    view: Mutex<MembershipView>,
    news: Notify,
}

/// Nodes whose standing has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspicionChanges {
    /// Nodes that are suspected now and were not before.
    pub suspected: Vec<NodeId>,
    /// Nodes that are trusted again.
    pub trusted: Vec<NodeId>,
}

impl VmMembership {
    /// Creates the view of a node that has seen no list.
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
            news: Notify::new(),
        }
    }

    /// Takes in a list; returns whether the availability of backend servers may have changed.
    pub fn list_fetched(&self, entries: &[VmEntry], now: Instant) -> bool {
        self.change(|view| view.list_fetched(entries, now))
    }

    /// Takes in a heartbeat; returns whether the availability of backend servers may have changed.
    pub fn heartbeat_received(&self, heartbeat: &NodeHeartbeat, now: Instant) -> bool {
        self.change(|view| view.heartbeat_received(heartbeat, now))
    }

    /// Takes in a digest; returns whether the availability of backend servers may have changed.
    pub fn digest_received(&self, digest: &DomainDigest, now: Instant) -> bool {
        self.change(|view| view.digest_received(digest, now))
    }

    /// Forgets what is too old; returns whether the availability of backend servers may have changed.
    pub fn tick(&self, now: Instant) -> bool {
        self.change(|view| view.tick(now))
    }

    /// Returns whether a backend server may get new work. Before the first list every declared one may, because a node
    /// that is cut off from the platform has to go on serving.
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

    /// Waits for news that is to be sent before the next interval ends, and returns how far.
    pub async fn wait_for_news(&self) -> PropagationScope {
        loop {
            let scope = self.view().take_propagation();
            if scope != PropagationScope::None {
                return scope;
            }
            self.news.notified().await;
        }
    }

    /// Compares the suspected nodes with those before, and replaces these.
    pub fn review_suspicion(&self, before: &mut BTreeSet<NodeId>, now: Instant) -> SuspicionChanges {
        let suspected = self.read(|view| suspected_nodes(view, now));
        let changes = SuspicionChanges {
            suspected: suspected.difference(before).cloned().collect(),
            trusted: before.difference(&suspected).cloned().collect(),
        };
        *before = suspected;
        changes
    }

    fn change(&self, change: impl FnOnce(&mut MembershipView)) -> bool {
        let mut view = self.view();
        let revision = view.revision();
        change(&mut view);
        let is_changed = view.revision() != revision;
        drop(view);
        if is_changed {
            self.news.notify_one();
        }
        is_changed
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
