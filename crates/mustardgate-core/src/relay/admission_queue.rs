//! Ordered wait of requests for capacity at the runners of one service.

use std::{collections::BTreeMap, time::Instant};

use smol_str::SmolStr;

use super::{request::ModelName, stream_gate::UrgencyRank};

/// Largest number of requests of one service that wait at a node; each wake-up looks at all of them.
const MAX_WAITING: usize = 64;
/// Number that stands for a request that has not joined: it comes after all that are equal otherwise.
const NEW_NUMBER: u64 = u64::MAX;

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry {
    /// Its kind.
    pub urgency: UrgencyRank,
    /// Tenant that it counts for; empty without tenants.
    pub tenant: SmolStr,
    /// Model that it needs, if any. Requests for other models use other runners and don't yield to it.
    pub model: Option<ModelName>,
    /// Until when it may be sent and still meet its target latency; later it is late.
    pub in_time_until: Instant,
    /// Deadline of its complete answer.
    pub deadline: Instant,
}

impl QueueEntry {
    fn share(&self) -> ShareKey {
        (self.urgency, self.tenant.clone())
    }
}

/// Requests of one kind and tenant, which take turns with those of other tenants.
type ShareKey = (UrgencyRank, SmolStr);

/// Requests of one service that wait for capacity, in the order in which they are served.
///
/// Answers bursts of a patient kind beside urgent ones, and tenants that send far more than others: the most urgent kind
/// goes first; within a kind those that are late already yield, or else a backlog makes all late; then tenants take turns,
/// and of one tenant's requests the one with the earliest deadline goes first. When the queue is full, the last one in this
/// order has to leave.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    waiting: BTreeMap<u64, QueueEntry>,
    next_number: u64,
    /// Turns that were taken by kind and tenant.
    turns: BTreeMap<ShareKey, u64>,
}

/// A request that has joined the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    /// Number of the request.
    pub number: u64,
    /// Number of a request that had to leave for it.
    pub displaced: Option<u64>,
}

impl AdmissionQueue {
    /// Adds a request; returns `None` if the queue is full of requests that come before it.
    pub fn join(&mut self, now: Instant, entry: QueueEntry) -> Option<QueuePosition> {
        let turn = self.next_turn(&entry);
        self.turns.insert(entry.share(), turn);
        self.next_number += 1;
        let number = self.next_number;
        self.waiting.insert(number, entry);
        if self.waiting.len() <= MAX_WAITING {
            return Some(QueuePosition {
                number,
                displaced: None,
            });
        }
        let displaced = self.order(now, None).last().copied();
        displaced.inspect(|number| self.leave(*number));
        (displaced != Some(number)).then_some(QueuePosition { number, displaced })
    }

    /// Returns how many requests for the same model come before a new one.
    pub fn ahead_of_new(&self, now: Instant, entry: &QueueEntry) -> usize {
        self.ahead_in(&self.order(now, Some(entry)), NEW_NUMBER, entry)
    }

    /// Returns how many requests for the same model come before one that waits.
    pub fn ahead(&self, now: Instant, number: u64) -> usize {
        let entry = self.waiting.get(&number);
        entry.map_or(0, |entry| self.ahead_in(&self.order(now, None), number, entry))
    }

    fn ahead_in(&self, order: &[u64], number: u64, entry: &QueueEntry) -> usize {
        let before = order.iter().take_while(|other| **other != number);
        let entries = before.filter_map(|other| self.waiting.get(other));
        entries.filter(|other| other.model == entry.model).count()
    }

    /// Returns whether a request still waits.
    pub fn contains(&self, number: u64) -> bool {
        self.waiting.contains_key(&number)
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, number: u64) {
        self.waiting.remove(&number);
        // Once nothing waits, all tenants start from the same turn.
        if self.waiting.is_empty() {
            self.turns.clear();
        }
    }

    /// Removes a request that is sent, which uses up a turn of its tenant.
    pub fn admit(&mut self, number: u64) {
        if let Some(entry) = self.waiting.get(&number) {
            *self.turns.entry(entry.share()).or_default() += 1;
        }
        self.leave(number);
    }

    /// Returns the request that comes first, or the first one after another.
    pub fn next_after(&self, now: Instant, number: Option<u64>) -> Option<u64> {
        let order = self.order(now, None);
        let after = number.and_then(|number| order.iter().position(|other| *other == number));
        order.get(after.map_or(0, |position| position + 1)).copied()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the requests in the order in which they are served, with a new one if given.
    fn order(&self, now: Instant, new: Option<&QueueEntry>) -> Vec<u64> {
        let waiting = self.waiting.iter().map(|(number, entry)| (*number, entry));
        let mut entries: Vec<(u64, &QueueEntry)> = waiting.chain(new.map(|entry| (NEW_NUMBER, entry))).collect();
        let is_late = |entry: &QueueEntry| entry.in_time_until < now;
        entries.sort_by_key(|(number, entry)| (is_late(entry), entry.deadline, *number));
        let mut turns: BTreeMap<ShareKey, u64> = BTreeMap::new();
        let mut places: Vec<_> = entries
            .into_iter()
            .map(|(number, entry)| {
                let turn = turns.entry(entry.share()).or_insert_with(|| self.next_turn(entry));
                *turn += 1;
                (entry.urgency, is_late(entry), *turn, entry.deadline, number)
            })
            .collect();
        places.sort_unstable();
        places.into_iter().map(|(.., number)| number).collect()
    }

    /// Returns the turn from which requests of a tenant count. One that had none waiting starts with the tenant that is
    /// furthest behind, so that nobody saves up turns while asking for nothing.
    fn next_turn(&self, entry: &QueueEntry) -> u64 {
        let share = entry.share();
        let taken = self.turns.get(&share).copied().unwrap_or_default();
        let of_kind = self.waiting.values().filter(|waiting| waiting.urgency == entry.urgency);
        if of_kind.clone().any(|waiting| waiting.tenant == entry.tenant) {
            return taken;
        }
        let least = of_kind.filter_map(|waiting| self.turns.get(&waiting.share())).min();
        taken.max(least.copied().unwrap_or_default())
    }
}
