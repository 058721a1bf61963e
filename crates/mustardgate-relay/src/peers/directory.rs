//! Addresses of other nodes, learnt from calls between nodes.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ids::DomainId,
    relay::{NodeCount, NodeCountHistory, NodeMember},
};
use rand::seq::IteratorRandom;

use super::members::{MemberList, digest};

/// Time after the last contact for which a node counts as running.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which changes are read from the log after the feeder has refused to pass them on.
const FEEDER_SUSPENSION: Duration = Duration::from_secs(2);

/// Addresses of other nodes.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    /// This node, if other nodes reach it.
    own: Option<NodeMember>,
    last_contacts: Mutex<BTreeMap<SocketAddr, NodeContact>>,
    members: Mutex<MemberList>,
    node_count: AtomicU32,
    count_history: Mutex<NodeCountHistory>,
    /// Nodes that leaders told of, the latest last.
    told: Mutex<VecDeque<SocketAddr>>,
    feeder: Mutex<FeederChoice>,
}

/// The last contact with a node.
#[derive(Clone, Debug)]
struct NodeContact {
    at: Instant,
    /// Failure domain of the node, if it told.
    domain: Option<DomainId>,
}

/// Encoded size of a node in a list, in bytes, or a little more.
pub(super) const MEMBER_BYTES: usize = 72;

/// Largest number of nodes that are remembered from what leaders told.
const MAX_TOLD: usize = 16;

#[derive(Debug, Default)]
struct FeederChoice {
    address: Option<SocketAddr>,
    suspended_until: Option<Instant>,
}

impl PeerDirectory {
    /// Creates the directory of a node that other nodes reach as `own`.
    pub fn new(own: Option<NodeMember>) -> Self {
        Self { own, ..Self::default() }
    }

    /// Records a call from or an answer of a node, which may tell its failure domain.
    pub fn record_contact(&self, address: SocketAddr, domain: Option<DomainId>) {
        let now = clock::now();
        let mut last_contacts = self.lock();
        last_contacts.retain(|_, contact| contact.is_recent(now));
        let known = last_contacts.remove(&address).and_then(|contact| contact.domain);
        let domain = domain.or(known);
        if let Some(domain) = domain.clone() {
            self.lock_members().add(now, NodeMember { address, domain });
        }
        last_contacts.insert(address, NodeContact { at: now, domain });
    }

    /// Returns the addresses of nodes with recent contact.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let now = clock::now();
        let last_contacts = self.lock();
        let fresh = last_contacts.iter().filter(|(_, contact)| contact.is_recent(now));
        fresh.map(|(address, _)| *address).collect()
    }

    /// Returns this node as others list it, if they reach it.
    pub fn own(&self) -> Option<&NodeMember> {
        self.own.as_ref()
    }

    /// Returns the address at which other nodes reach this one.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own.as_ref().map(|own| own.address)
    }

    /// Returns the other nodes that are believed to run, with their failure domains.
    pub fn members(&self) -> Vec<NodeMember> {
        let members = self.lock_members().members(clock::now());
        let is_other = |member: &NodeMember| self.own.as_ref().is_none_or(|own| own.address != member.address);
        members.into_iter().filter(is_other).collect()
    }

    /// Takes over the list of a leader.
    pub fn set_members(&self, members: &[NodeMember]) {
        let members = members.iter().cloned().collect();
        self.lock_members().replace(clock::now(), members);
    }

    /// Takes over the nodes with recent contact as the list, because this node leads.
    pub fn list_contacts(&self) {
        let members = self.contacts();
        self.lock_members().replace(clock::now(), members);
    }

    /// Returns the digest of the last list.
    pub fn members_digest(&self) -> u64 {
        self.lock_members().digest()
    }

    /// Returns the nodes with recent contact and this one, unless the asking node has a list with this digest or the list
    /// takes more than `room` bytes.
    pub fn changed_members(&self, seen: u64, room: usize) -> Option<Vec<NodeMember>> {
        let members = self.contacts();
        let has_room = members.len() * MEMBER_BYTES <= room;
        (has_room && digest(&members) != seen).then(|| members.into_iter().collect())
    }

    fn contacts(&self) -> BTreeSet<NodeMember> {
        let now = clock::now();
        let last_contacts = self.lock();
        let recent = last_contacts.iter().filter(|(_, contact)| contact.is_recent(now));
        let members = recent.filter_map(|(address, contact)| {
            Some(NodeMember {
                address: *address,
                domain: contact.domain.clone()?,
            })
        });
        members.chain(self.own.clone()).collect()
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
        let mut history = self.count_history.lock().expect("no holder of the lock panics");
        history.record(clock::now(), nodes);
    }

    /// Returns the largest number of nodes according to the leaders of the last while, and for how long one is known.
    pub fn known_node_count(&self) -> NodeCount {
        let history = self.count_history.lock().expect("no holder of the lock panics");
        history.largest(clock::now())
    }

    /// Returns the largest number of nodes of the last while, or 0 unless one is known for long enough that a leader which
    /// had just begun has heard of all nodes.
    pub fn settled_node_count(&self) -> u32 {
        self.known_node_count().settled(CONTACT_TIMEOUT)
    }

    /// Returns the number of nodes according to the leader, or 0 if unknown.
    pub fn node_count(&self) -> u32 {
        self.node_count.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, NodeContact>> {
        self.last_contacts.lock().expect("no holder of the lock panics")
    }

    fn lock_members(&self) -> MutexGuard<'_, MemberList> {
        self.members.lock().expect("no holder of the lock panics")
    }
}

impl NodeContact {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < CONTACT_TIMEOUT
    }
}
