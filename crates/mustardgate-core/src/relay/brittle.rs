//! Services whose runners fall over when they have to turn too many requests away.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, ServiceId};

/// Time for which a statement counts that no newer answer contradicts.
const STATEMENT_LIFE: Duration = Duration::from_secs(30);

/// What an answer of a runner says of how many requests it may turn away.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum BrittleStatement {
    /// Nothing: it turns away what it has no room for.
    #[default]
    Sturdy,
    /// More than this many a second make it fall over.
    Brittle(f64),
    /// A value that cannot be read.
    Unreadable,
}

/// A brittle service, as nodes tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleService {
    /// The service.
    pub service: ServiceId,
    /// Time since the request was sent whose answer said so.
    pub age: Duration,
}

/// Which services are brittle, by what their runners say.
#[derive(Clone, Debug, Default)]
pub struct BrittleLedger {
    /// When the newest request was sent whose answer said that the service is brittle.
    said: BTreeMap<ServiceId, Instant>,
    /// When the request was sent whose answer ended such a state; other nodes may still tell of it.
    ended: BTreeMap<ServiceId, Instant>,
}

impl BrittleLedger {
    /// Records what an answer says whose request was sent at `sent_at`; returns whether that changes the service's state.
    ///
    /// All runners of a service say the same, so an answer that says nothing ends it, unless its request was sent before
    /// that of an answer which said so.
    pub fn observe(&mut self, service: &ServiceId, statement: BrittleStatement, sent_at: Instant) -> bool {
        let is_outdated = self.ended.get(service).is_some_and(|ended| sent_at <= *ended);
        if is_outdated {
            return false;
        }
        let known = self.said.get(service).copied();
        match (statement, known) {
            (BrittleStatement::Brittle(_), None) => {
                self.said.insert(service.clone(), sent_at);
                true
            }
            (BrittleStatement::Brittle(_), Some(known)) => {
                self.said.insert(service.clone(), sent_at.max(known));
                false
            }
            (BrittleStatement::Sturdy, Some(known)) if sent_at > known => {
                self.said.remove(service);
                self.ended.insert(service.clone(), sent_at);
                true
            }
            (BrittleStatement::Sturdy | BrittleStatement::Unreadable, _) => false,
        }
    }

    /// Returns whether a service is brittle.
    pub fn is_brittle(&self, now: Instant, service: &ServiceId) -> bool {
        self.said
            .get(service)
            .is_some_and(|at| now.saturating_duration_since(*at) < STATEMENT_LIFE)
    }

    /// Returns the services that are brittle, for other nodes.
    pub fn services(&self, now: Instant) -> Vec<BrittleService> {
        let said = self.said.iter();
        said.map(|(service, at)| BrittleService {
            service: service.clone(),
            age: now.saturating_duration_since(*at),
        })
        .filter(|service| service.age < STATEMENT_LIFE)
        .collect()
    }

    /// Takes over what another node knows, from a message that was under way for `message_time` at most.
    pub fn merge(&mut self, now: Instant, services: &[BrittleService], message_time: Duration) {
        for told in services {
            let age = told.age.saturating_add(message_time);
            let Some(at) = now.checked_sub(age) else { continue };
            if age < STATEMENT_LIFE {
                self.observe(&told.service, BrittleStatement::Brittle(0.0), at);
            }
        }
    }
}

/// Returns how many requests the node `own` may have at each runner at once, so that all nodes together surely find room.
///
/// The places of all runners are dealt to the nodes in turn, and all nodes compute the same from the same lists. One place
/// of each runner stays free, for connections that are being made. A node that gets none has one, since there are more
/// nodes than places and few of them send at the same time.
pub fn deal_places(
    runners: &BTreeMap<BackendId, u32>,
    nodes: &BTreeSet<SocketAddr>,
    own: SocketAddr,
) -> BTreeMap<BackendId, u32> {
    let mut places: BTreeMap<BackendId, u32> = runners.keys().map(|id| (id.clone(), 0)).collect();
    let Some(own_index) = nodes.iter().position(|node| *node == own) else {
        return places;
    };
    let usable = |slots: u32| slots.saturating_sub(1).max(1);
    let levels: BTreeSet<u32> = runners.values().map(|slots| usable(*slots)).collect();
    let mut turn = NodeTurn {
        left: own_index as u64,
        nodes: nodes.len() as u64,
    };
    let mut dealt_rounds = 0;
    for level in levels {
        let open = runners.iter().filter(|(_, slots)| usable(**slots) >= level);
        let open: Vec<&BackendId> = open.map(|(id, _)| id).collect();
        turn.deal(&mut places, &open, u64::from(level - dealt_rounds));
        dealt_rounds = level;
    }
    let has_place = places.values().any(|places| *places > 0);
    if !has_place && let Some(place) = places.values_mut().nth(own_index % runners.len().max(1)) {
        *place = 1;
    }
    places
}

/// The turns of one node while places are dealt.
struct NodeTurn {
    /// Places that are dealt to other nodes before the next one of this node.
    left: u64,
    nodes: u64,
}

impl NodeTurn {
    /// Deals one place of each runner in each round. The number of rounds is stated by runners, so the work must not grow
    /// with it: the runners of a node's turns repeat after as many turns as there are runners at most.
    fn deal(&mut self, places: &mut BTreeMap<BackendId, u32>, runners: &[&BackendId], rounds: u64) {
        let runner_count = runners.len() as u64;
        let dealt = rounds * runner_count;
        let turns = dealt.saturating_sub(self.left).div_ceil(self.nodes);
        let cycle = runner_count / greatest_divisor(runner_count, self.nodes);
        for turn in 0..cycle.min(turns) {
            let runner = (self.left + turn * self.nodes) % runner_count;
            let count = turns / cycle + u64::from(turn < turns % cycle);
            *places
                .get_mut(runners[runner as usize])
                .expect("it is one of the runners") += count as u32;
        }
        self.left = self.left + turns * self.nodes - dealt;
    }
}

/// Returns the greatest common divisor of two numbers.
fn greatest_divisor(left: u64, right: u64) -> u64 {
    if right == 0 {
        left
    } else {
        greatest_divisor(right, left % right)
    }
}
