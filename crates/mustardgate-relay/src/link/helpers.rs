//! Other nodes through which requests reach runners.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use mustardgate_core::{clock, relay::NodeMember};
use rand::{Rng, seq::IteratorRandom};

use crate::client::{ConnectionPool, PeerKind, PoolSettings};

/// Time for which a node is not asked again that could not help.
const REST_TIME: Duration = Duration::from_secs(1);
/// Longest time to connect to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a node that passed a request on is asked before others, and share of the requests that try another one
/// all the same, so that work spreads to those that can help again.
const PROOF_TIME: Duration = Duration::from_secs(5);
const TRIAL_SHARE: f64 = 0.1;
/// Number of nodes among which the one with the least work is taken. With all of them, nodes with the same knowledge
/// would take the same one.
const CHOICES: usize = 2;

/// Another node as a way to the runners.
#[derive(Debug)]
pub struct HelperCell {
    /// Connections to the node.
    pub pool: Arc<ConnectionPool>,
    /// Requests of this node that it passes on.
    in_flight: AtomicUsize,
    /// Requests that it passes on for all nodes, as it said last.
    load: AtomicUsize,
    rests_until: Mutex<Option<Instant>>,
    /// When it last passed a request on.
    helped_at: Mutex<Option<Instant>>,
}

/// A request that another node passes on, until it is dropped.
#[derive(Debug)]
pub struct HelperUse(Arc<HelperCell>);

impl HelperUse {
    /// Returns the other node.
    pub fn helper(&self) -> &Arc<HelperCell> {
        &self.0
    }
}

impl Drop for HelperUse {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl HelperCell {
    fn new(address: SocketAddr) -> Self {
        let settings = PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            peer: PeerKind::Node,
            ..PoolSettings::default()
        };
        Self {
            pool: Arc::new(ConnectionPool::new(settings, address)),
            in_flight: AtomicUsize::new(0),
            load: AtomicUsize::new(0),
            rests_until: Mutex::new(None),
            helped_at: Mutex::new(None),
        }
    }

    /// Records the load that the node stated.
    pub fn record_load(&self, load: usize) {
        self.load.store(load, Ordering::Relaxed);
    }

    /// Records that the node passed a request on.
    pub fn record_help(&self) {
        *self.helped_at.lock().expect("no holder of the lock panics") = Some(clock::now());
    }

    fn has_helped(&self) -> bool {
        let helped_at = self.helped_at.lock().expect("no holder of the lock panics");
        helped_at.is_some_and(|at| clock::now().saturating_duration_since(at) < PROOF_TIME)
    }

    /// Records that the node could not help.
    pub fn rest(&self) {
        *self.rests_until.lock().expect("no holder of the lock panics") = Some(clock::now() + REST_TIME);
    }

    fn is_resting(&self) -> bool {
        let rests_until = self.rests_until.lock().expect("no holder of the lock panics");
        rests_until.is_some_and(|until| clock::now() < until)
    }

    fn work(&self) -> usize {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        in_flight.max(self.load.load(Ordering::Relaxed)) + in_flight
    }
}

/// The other nodes as ways to the runners.
#[derive(Debug, Default)]
pub struct HelperBook {
    helpers: Mutex<BTreeMap<SocketAddr, Arc<HelperCell>>>,
}

impl HelperBook {
    /// Chooses one of the other nodes that may help, except those tried already.
    pub fn choose(&self, members: &[NodeMember], tried: &[SocketAddr]) -> Option<(SocketAddr, HelperUse)> {
        let mut helpers = self.helpers.lock().expect("no holder of the lock panics");
        let known = members.iter().map(|member| member.address);
        let usable = known.filter_map(|address| {
            let cell = helpers
                .entry(address)
                .or_insert_with(|| Arc::new(HelperCell::new(address)));
            (!tried.contains(&address) && !cell.is_resting()).then(|| (address, Arc::clone(cell)))
        });
        let (proven, others): (Vec<_>, Vec<_>) = usable.partition(|(_, cell)| cell.has_helped());
        let is_trial = rand::rng().random_bool(TRIAL_SHARE) && !others.is_empty();
        let drawn_from = if proven.is_empty() || is_trial { others } else { proven };
        let drawn = drawn_from.into_iter().choose_multiple(&mut rand::rng(), CHOICES);
        helpers.retain(|address, _| members.iter().any(|member| member.address == *address));
        drop(helpers);
        let (address, cell) = drawn.into_iter().min_by_key(|(_, cell)| cell.work())?;
        cell.in_flight.fetch_add(1, Ordering::Relaxed);
        Some((address, HelperUse(cell)))
    }

    /// Closes expired idle connections.
    pub fn close_expired(&self) {
        let helpers = self.helpers.lock().expect("no holder of the lock panics");
        for cell in helpers.values() {
            cell.pool.close_expired();
        }
    }
}
