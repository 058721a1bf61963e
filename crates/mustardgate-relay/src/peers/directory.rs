//! Addresses of other nodes, as they made themselves known.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use mustardgate_core::clock;

/// Time for which a node that was heard of counts as there.
const MEMORY: Duration = Duration::from_secs(3);

/// Addresses of other nodes.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    heard: Mutex<BTreeMap<SocketAddr, Instant>>,
    stated_nodes: AtomicU32,
    feeder: Mutex<Option<SocketAddr>>,
}

impl PeerDirectory {
    /// Notes that a node was heard of.
    pub fn note(&self, address: SocketAddr) {
        let now = clock::now();
        let mut heard = self.lock();
        heard.retain(|_, at| now.saturating_duration_since(*at) < MEMORY);
        heard.insert(address, now);
    }

    /// Returns the nodes heard of lately.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let heard = self.lock();
        let fresh = heard
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) < MEMORY);
        fresh.map(|(address, _)| *address).collect()
    }

    /// Returns the number of nodes heard of lately, this one included.
    pub fn count_nodes(&self) -> u32 {
        self.addresses().len() as u32 + 1
    }

    /// Sets the node from which changes of keyed topics are learnt, or none to read the log itself.
    pub fn set_feeder(&self, feeder: Option<SocketAddr>) {
        *self.feeder.lock().expect("no holder of the lock panics") = feeder;
    }

    /// Returns the node from which changes of keyed topics are learnt.
    pub fn feeder(&self) -> Option<SocketAddr> {
        *self.feeder.lock().expect("no holder of the lock panics")
    }

    /// Takes the number of nodes that the leader states.
    pub fn state_nodes(&self, nodes: u32) {
        self.stated_nodes.store(nodes, Ordering::Relaxed);
    }

    /// Returns the number of nodes that the leader stated last, or 0 if it is not known.
    pub fn stated_nodes(&self) -> u32 {
        self.stated_nodes.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Instant>> {
        self.heard.lock().expect("no holder of the lock panics")
    }
}
