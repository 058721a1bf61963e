//! Queue of one priority class of one pool: deficit round robin over tenants, earliest deadline first within a tenant.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use super::QueuedRequest;
use crate::ids::TenantId;

/// Sort key within a tenant's queue: the deadline, then the order of arrival.
pub(super) type EntryKey = (Instant, u64);

/// Requests of one class that wait for the same pool of runners.
#[derive(Debug, Default)]
pub(super) struct ClassLane {
    tenants: BTreeMap<TenantId, TenantQueue>,
    round_robin: VecDeque<TenantId>,
    len: usize,
}

#[derive(Debug, Default)]
struct TenantQueue {
    entries: BTreeMap<EntryKey, QueuedRequest>,
    weight: u32,
    deficit: u64,
}

impl TenantQueue {
    fn backlog_per_weight(&self) -> f64 {
        self.entries.len() as f64 / f64::from(self.weight.max(1))
    }
}

/// The tenant whose backlog is largest for its weight.
#[derive(Debug)]
pub(super) struct LargestBacklog {
    pub(super) tenant: TenantId,
    pub(super) per_weight: f64,
}

impl ClassLane {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request; a tenant that had none waiting joins the round robin, at its front if it used little recently
    /// and at its back otherwise.
    pub(super) fn insert(&mut self, key: EntryKey, request: QueuedRequest, is_sparse: bool) {
        let tenant = request.tenant.clone();
        let queue = self.tenants.entry(tenant.clone()).or_default();
        queue.weight = request.weight.max(1);
        match (queue.entries.is_empty(), is_sparse) {
            (true, true) => self.round_robin.push_front(tenant),
            (true, false) => self.round_robin.push_back(tenant),
            (false, _) => {}
        }
        queue.entries.insert(key, request);
        self.len += 1;
    }

    /// Removes the next request in the order of the deficit round robin.
    pub(super) fn pop(&mut self) -> Option<(EntryKey, QueuedRequest)> {
        loop {
            let tenant = self.round_robin.front()?.clone();
            let queue = self.tenants.get_mut(&tenant)?;
            let cost = u64::from(queue.entries.first_key_value()?.1.cost.max(1));
            if queue.deficit >= cost {
                queue.deficit -= cost;
                let key = *queue.entries.first_key_value()?.0;
                let request = self.remove(&tenant, key)?;
                self.end_turn(&tenant);
                return Some((key, request));
            }
            queue.deficit += u64::from(queue.weight);
            if queue.deficit < cost {
                self.round_robin.rotate_left(1);
            }
        }
    }

    /// Moves on to the next tenant when this one's deficit does not cover the cost of its next request.
    fn end_turn(&mut self, tenant: &TenantId) {
        let Some(queue) = self.tenants.get(tenant) else { return };
        let next_cost = queue.entries.first_key_value().map_or(1, |(_, next)| next.cost.max(1));
        if queue.deficit < u64::from(next_cost) {
            self.round_robin.rotate_left(1);
        }
    }

    /// Removes one request; with its last request a tenant also leaves the round robin.
    pub(super) fn remove(&mut self, tenant: &TenantId, key: EntryKey) -> Option<QueuedRequest> {
        let queue = self.tenants.get_mut(tenant)?;
        let request = queue.entries.remove(&key)?;
        self.len -= 1;
        if queue.entries.is_empty() {
            self.tenants.remove(tenant);
            self.round_robin.retain(|waiting| waiting != tenant);
        }
        Some(request)
    }

    /// Returns how many requests of this lane are served before the one at `index` of a tenant's queue.
    pub(super) fn position(&self, tenant: &TenantId, weight: u32, index: usize) -> usize {
        let queued = self.tenants.get(tenant);
        let others: u64 = self
            .tenants
            .iter()
            .filter(|(name, _)| *name != tenant)
            .map(|(_, queue)| {
                let rounds = (index as u64 + 1).div_ceil(u64::from(weight.max(1)));
                (rounds * u64::from(queue.weight)).min(queue.entries.len() as u64)
            })
            .sum();
        index.min(queued.map_or(0, |queue| queue.entries.len())) + others as usize
    }

    /// Returns how many queued requests of a tenant have a deadline no later than `deadline`.
    pub(super) fn index_of(&self, tenant: &TenantId, deadline: Instant) -> usize {
        self.tenants
            .get(tenant)
            .map_or(0, |queue| queue.entries.range(..=(deadline, u64::MAX)).count())
    }

    pub(super) fn backlog_per_weight(&self, tenant: &TenantId, weight: u32, added: usize) -> f64 {
        let queued = self.tenants.get(tenant).map_or(0, |queue| queue.entries.len());
        (queued + added) as f64 / f64::from(weight.max(1))
    }

    pub(super) fn largest_backlog(&self) -> Option<LargestBacklog> {
        self.tenants
            .iter()
            .map(|(tenant, queue)| LargestBacklog {
                tenant: tenant.clone(),
                per_weight: queue.backlog_per_weight(),
            })
            .max_by(|left, right| left.per_weight.total_cmp(&right.per_weight))
    }

    /// Returns the earliest deadline of any request.
    pub(super) fn earliest_deadline(&self) -> Option<Instant> {
        self.tenants
            .values()
            .filter_map(|queue| queue.entries.first_key_value().map(|(key, _)| key.0))
            .min()
    }

    /// Returns the key of a tenant's request with the latest deadline, which is the first one to be shed.
    pub(super) fn last_key(&self, tenant: &TenantId) -> Option<EntryKey> {
        self.tenants.get(tenant)?.entries.last_key_value().map(|(key, _)| *key)
    }

    /// Lists every request with its key and its index in its tenant's queue.
    pub(super) fn indexed(&self) -> impl Iterator<Item = (EntryKey, usize, &QueuedRequest)> {
        self.tenants.values().flat_map(|queue| {
            queue
                .entries
                .iter()
                .enumerate()
                .map(|(index, (key, request))| (*key, index, request))
        })
    }
}
