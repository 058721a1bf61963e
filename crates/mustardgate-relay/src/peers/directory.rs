//! Addresses of other nodes, learnt from calls between nodes.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use mustardgate_core::clock;
use rand::seq::IteratorRandom;

/// Time after the last contact for which a node counts as running.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which changes are read from the log after the feeder has refused to pass them on.
const FEEDER_SUSPENSION: Duration = Duration::from_secs(2);

/// Time for which a larger number of nodes is remembered: at least this, and at most twice as long.
const COUNT_MEMORY: Duration = Duration::from_secs(30);

/// Addresses of other nodes.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    last_contacts: Mutex<BTreeMap<SocketAddr, Instant>>,
    node_count: AtomicU32,
    count_history: Mutex<CountHistory>,
    /// Nodes that leaders told of, the latest last.
    told: Mutex<VecDeque<SocketAddr>>,
    feeder: Mutex<FeederChoice>,
}

/// Largest number of nodes that are remembered from what leaders told.
const MAX_TOLD: usize = 16;

/// Largest numbers of nodes in the current period of [`COUNT_MEMORY`] and in the one before.
#[derive(Debug, Default)]
struct CountHistory {
    period_since: Option<Instant>,
    current: u32,
    previous: u32,
}

#[derive(Debug, Default)]
struct FeederChoice {
    address: Option<SocketAddr>,
    suspended_until: Option<Instant>,
}

impl PeerDirectory {
    /// Records a call from or an answer of a node.
    pub fn record_contact(&self, address: SocketAddr) {
        let now = clock::now();
        let mut last_contacts = self.lock();
        last_contacts.retain(|_, at| now.saturating_duration_since(*at) < CONTACT_TIMEOUT);
        last_contacts.insert(address, now);
    }

    /// Returns the addresses of nodes with recent contact.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let last_contacts = self.lock();
        let fresh = last_contacts
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) < CONTACT_TIMEOUT);
        fresh.map(|(address, _)| *address).collect()
    }

    /// Returns up to `count` random nodes with recent contact other than `asking`.
    pub fn sample(&self, count: usize, asking: SocketAddr) -> Vec<SocketAddr> {
        let others = self.addresses().into_iter().filter(|address| *address != asking);
        others.choose_multiple(&mut rand::rng(), count)
    }

    /// Remembers nodes that a leader told of.
    pub fn remember(&self, neighbours: &[SocketAddr]) {
        let mut told = self.told.lock().expect("no holder of the lock panics");
        for address in neighbours {
            told.retain(|known| known != address);
            told.push_back(*address);
        }
        while told.len() > MAX_TOLD {
            told.pop_front();
        }
    }

    /// Returns the nodes with recent contact, and those that leaders told of.
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        let mut known = self.addresses();
        let told = self.told.lock().expect("no holder of the lock panics");
        let others: Vec<SocketAddr> = told
            .iter()
            .copied()
            .filter(|address| !known.contains(address))
            .collect();
        known.extend(others);
        known
    }

    /// Returns the number of nodes with recent contact, including this one.
    pub fn count_live_nodes(&self) -> u32 {
        self.addresses().len() as u32 + 1
    }

    /// Sets the node from which changes of keyed topics are read, or `None` to read them from the log.
    pub fn set_feeder(&self, feeder: Option<SocketAddr>) {
        self.feeder.lock().expect("no holder of the lock panics").address = feeder;
    }

    /// Reads changes from the log for [`FEEDER_SUSPENSION`], whichever node leads.
    pub fn suspend_feeder(&self) {
        let mut feeder = self.feeder.lock().expect("no holder of the lock panics");
        feeder.suspended_until = Some(clock::now() + FEEDER_SUSPENSION);
    }

    /// Returns the node from which changes of keyed topics are read.
    pub fn feeder(&self) -> Option<SocketAddr> {
        let feeder = self.feeder.lock().expect("no holder of the lock panics");
        let is_suspended = feeder.suspended_until.is_some_and(|until| clock::now() < until);
        feeder.address.filter(|_| !is_suspended)
    }

    /// Sets the number of nodes according to the leader.
    pub fn set_node_count(&self, nodes: u32) {
        self.node_count.store(nodes, Ordering::Relaxed);
        let now = clock::now();
        let mut history = self.count_history.lock().expect("no holder of the lock panics");
        let is_over = |since: Instant| now.saturating_duration_since(since) >= COUNT_MEMORY;
        if history.period_since.is_none_or(is_over) {
            history.previous = history.current;
            history.current = 0;
            history.period_since = Some(now);
        }
        history.current = history.current.max(nodes);
    }

    /// Returns the largest number of nodes according to the leaders of the last while, or 0 if unknown.
    ///
    /// A new leader knows only the nodes that have called it, and a leader that is cut off only those on its side.
    pub fn largest_node_count(&self) -> u32 {
        let history = self.count_history.lock().expect("no holder of the lock panics");
        history.current.max(history.previous)
    }

    /// Returns the number of nodes according to the leader, or 0 if unknown.
    pub fn node_count(&self) -> u32 {
        self.node_count.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Instant>> {
        self.last_contacts.lock().expect("no holder of the lock panics")
    }
}
