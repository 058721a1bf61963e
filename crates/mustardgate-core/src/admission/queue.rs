//! The queue of one node, bounded in length and bytes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    AdmissionLimits, AdmissionOutcome, PoolId, PoolLoad, QueueViolation, QueuedRequest, Refusal, RefusalReason,
    RefusedRequest,
    lane::{ClassLane, EntryKey},
    usage::TenantUsage,
};
use crate::{ids::TenantId, resources::PriorityClass, verdict::RunVerdict};

const RETRY_AFTER_MIN_MS: u64 = 100;
const RETRY_AFTER_MAX_MS: u64 = 30_000;
const RETRY_AFTER_JITTER_RATIO: f64 = 0.5;

#[derive(Debug, Default)]
struct PoolQueue {
    lanes: [ClassLane; PriorityClass::ALL.len()],
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ExpiryEntry {
    latest_start: Instant,
    sequence: u64,
    key: EntryKey,
    pool: PoolId,
    class: PriorityClass,
    tenant: TenantId,
}

/// Requests of one node that wait for a runner.
///
/// Each pool of runners has its own lanes, so that requests for a busy model do not delay those for an idle one; the
/// bounds hold for all pools together.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: AdmissionLimits,
    pools: BTreeMap<PoolId, PoolQueue>,
    expiries: BTreeSet<ExpiryEntry>,
    latest_starts: BTreeMap<u64, Instant>,
    len: usize,
    bytes: usize,
    sequence: u64,
    usage: TenantUsage,
    rng: ChaCha8Rng,
}

impl AdmissionQueue {
    /// Creates an empty queue; `seed` drives only the jitter of `retry_after`.
    pub fn new(limits: AdmissionLimits, seed: u64) -> Self {
        Self {
            limits,
            pools: BTreeMap::new(),
            expiries: BTreeSet::new(),
            latest_starts: BTreeMap::new(),
            len: 0,
            bytes: 0,
            sequence: 0,
            usage: TenantUsage::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many bytes waiting requests hold.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how many requests wait for one pool.
    pub fn pool_len(&self, pool: &PoolId) -> usize {
        self.pools
            .get(pool)
            .map_or(0, |queue| queue.lanes.iter().map(ClassLane::len).sum())
    }

    /// Lists the pools with waiting requests, ordered by their most urgent class and its earliest deadline, so that a
    /// slot that becomes free at a runner shared by several pools goes to the most urgent request.
    pub fn waiting_pools(&self) -> Vec<PoolId> {
        let mut waiting: Vec<(usize, Instant, &PoolId)> = self
            .pools
            .iter()
            .filter_map(|(pool, queue)| {
                let class = queue.lanes.iter().position(|lane| lane.len() > 0)?;
                Some((class, queue.lanes[class].earliest_deadline()?, pool))
            })
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, _, pool)| pool.clone()).collect()
    }

    /// Queues a request if its deadline can be met, and refuses it at once otherwise.
    ///
    /// # Errors
    /// [`QueueViolation`] when the request would exceed the bounds even after shedding; it is not queued.
    pub fn offer(
        &mut self,
        now: Instant,
        request: QueuedRequest,
        load: &PoolLoad,
    ) -> Result<AdmissionOutcome, QueueViolation> {
        let wait = self.expected_wait(&request, load);
        let Some(wait) = wait else {
            return Ok(self.refused_outcome(RefusalReason::NoCapacity, load.hold_time));
        };
        if now + wait + load.answer_time > request.deadline {
            return Ok(self.refused_outcome(RefusalReason::DeadlineInfeasible, wait));
        }
        let mut shed = Vec::new();
        while !self.has_room(&request) {
            let Some(victim) = self.shed_one(&request, wait) else {
                let mut outcome = self.refused_outcome(RefusalReason::QueueFull, wait);
                outcome.shed = shed;
                return Ok(outcome);
            };
            shed.push(victim);
        }
        self.insert(request, load)?;
        Ok(AdmissionOutcome { refusal: None, shed })
    }

    /// Removes and returns the next request for a pool that has a free slot; call [`Self::expire`] first, so that no
    /// expired request is dispatched.
    pub fn take(&mut self, pool: &PoolId) -> Option<QueuedRequest> {
        let lanes = &mut self.pools.get_mut(pool)?.lanes;
        let (key, request) = lanes.iter_mut().find_map(ClassLane::pop)?;
        self.usage.record(&request.tenant, request.weight, request.cost);
        self.untrack(key, &request);
        if self.pool_len(pool) == 0 {
            self.pools.remove(pool);
        }
        Some(request)
    }

    /// Returns the time after which [`Self::expire`] has a request to remove.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|entry| entry.latest_start)
    }

    /// Removes requests that can no longer be answered in time, so that their callers are refused before the deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<RefusedRequest> {
        let mut refused = Vec::new();
        while self.expiries.first().is_some_and(|entry| entry.latest_start < now) {
            let Some(entry) = self.expiries.first().cloned() else {
                break;
            };
            if let Some(request) = self.remove(&entry.pool, entry.class, &entry.tenant, entry.key) {
                let refusal = self.refusal(RefusalReason::Expired, Duration::ZERO);
                refused.push(RefusedRequest { request, refusal });
            } else {
                self.expiries.remove(&entry);
            }
        }
        refused
    }

    /// Sheds queued requests of a pool whose deadlines can no longer be met after a change of load, lowest class first.
    pub fn shed_infeasible(&mut self, now: Instant, pool: &PoolId, load: &PoolLoad) -> Vec<RefusedRequest> {
        let mut refused = Vec::new();
        for class in PriorityClass::ALL.into_iter().rev() {
            for (tenant, key, wait) in self.infeasible(now, pool, class, load) {
                if let Some(request) = self.remove(pool, class, &tenant, key) {
                    let refusal = self.refusal(RefusalReason::Shed, wait);
                    refused.push(RefusedRequest { request, refusal });
                }
            }
        }
        refused
    }

    fn infeasible(
        &self,
        now: Instant,
        pool: &PoolId,
        class: PriorityClass,
        load: &PoolLoad,
    ) -> Vec<(TenantId, EntryKey, Duration)> {
        let Some(queue) = self.pools.get(pool) else {
            return Vec::new();
        };
        let more_urgent = queue.more_urgent_len(class);
        let lane = &queue.lanes[class as usize];
        let mut found = Vec::new();
        // Every removal shortens the wait of the requests behind it, so a tenant's index counts only those that stay.
        let mut removed_by_tenant: BTreeMap<&TenantId, usize> = BTreeMap::new();
        for (key, index, request) in lane.indexed() {
            let removed = removed_by_tenant.entry(&request.tenant).or_default();
            let ahead = more_urgent + lane.position(&request.tenant, request.weight, index - *removed);
            let wait = load
                .expected_wait(ahead)
                .unwrap_or(Duration::from_millis(RETRY_AFTER_MAX_MS));
            if now + wait + load.answer_time > request.deadline {
                *removed += 1;
                found.push((request.tenant.clone(), key, wait));
            }
        }
        found
    }

    fn expected_wait(&self, request: &QueuedRequest, load: &PoolLoad) -> Option<Duration> {
        let ahead = self.pools.get(&request.pool).map_or(0, |queue| {
            let lane = &queue.lanes[request.class as usize];
            let index = lane.index_of(&request.tenant, request.deadline);
            if index == 0 && self.usage.is_sparse(&request.tenant) {
                return queue.more_urgent_len(request.class);
            }
            queue.more_urgent_len(request.class) + lane.position(&request.tenant, request.weight, index)
        });
        load.expected_wait(ahead)
    }

    fn has_room(&self, request: &QueuedRequest) -> bool {
        self.len < self.limits.max_requests && self.bytes + request.bytes <= self.limits.max_bytes
    }

    fn insert(&mut self, request: QueuedRequest, load: &PoolLoad) -> Result<(), QueueViolation> {
        if !self.has_room(&request) {
            return Err(QueueViolation::BoundExceeded {
                requests: self.len + 1,
                bytes: self.bytes + request.bytes,
            });
        }
        self.sequence += 1;
        let key = (request.deadline, self.sequence);
        let latest_start = request
            .deadline
            .checked_sub(load.answer_time)
            .unwrap_or(request.deadline);
        self.expiries.insert(expiry_entry(latest_start, key, &request));
        self.latest_starts.insert(self.sequence, latest_start);
        self.len += 1;
        self.bytes += request.bytes;
        let is_sparse = self.usage.is_sparse(&request.tenant);
        let queue = self.pools.entry(request.pool.clone()).or_default();
        queue.lanes[request.class as usize].insert(key, request, is_sparse);
        Ok(())
    }

    fn untrack(&mut self, key: EntryKey, request: &QueuedRequest) {
        self.len -= 1;
        self.bytes -= request.bytes;
        if let Some(latest_start) = self.latest_starts.remove(&key.1) {
            self.expiries.remove(&expiry_entry(latest_start, key, request));
        }
    }

    fn remove(
        &mut self,
        pool: &PoolId,
        class: PriorityClass,
        tenant: &TenantId,
        key: EntryKey,
    ) -> Option<QueuedRequest> {
        let request = self.pools.get_mut(pool)?.lanes[class as usize].remove(tenant, key)?;
        self.untrack(key, &request);
        if self.pool_len(pool) == 0 {
            self.pools.remove(pool);
        }
        Some(request)
    }

    /// Makes room by shedding a request of a lower class, or of a tenant of the same class with a larger backlog.
    fn shed_one(&mut self, arriving: &QueuedRequest, wait: Duration) -> Option<RefusedRequest> {
        let (pool, class, tenant) = self.find_victim(arriving)?;
        let key = self.pools.get(&pool)?.lanes[class as usize].last_key(&tenant)?;
        let request = self.remove(&pool, class, &tenant, key)?;
        let refusal = self.refusal(RefusalReason::Shed, wait);
        Some(RefusedRequest { request, refusal })
    }

    fn find_victim(&self, arriving: &QueuedRequest) -> Option<(PoolId, PriorityClass, TenantId)> {
        for class in PriorityClass::ALL.into_iter().rev() {
            if class < arriving.class {
                return None;
            }
            let largest = self
                .pools
                .iter()
                .filter_map(|(pool, queue)| Some((pool, queue.lanes[class as usize].largest_backlog()?)))
                .max_by(|left, right| left.1.per_weight.total_cmp(&right.1.per_weight));
            let Some((pool, largest)) = largest else { continue };
            if class > arriving.class || largest.per_weight > self.backlog_per_weight_with(arriving) {
                return Some((pool.clone(), class, largest.tenant));
            }
        }
        None
    }

    fn backlog_per_weight_with(&self, arriving: &QueuedRequest) -> f64 {
        self.pools
            .get(&arriving.pool)
            .map_or(1.0 / f64::from(arriving.weight.max(1)), |queue| {
                queue.lanes[arriving.class as usize].backlog_per_weight(&arriving.tenant, arriving.weight, 1)
            })
    }

    fn refused_outcome(&mut self, reason: RefusalReason, wait: Duration) -> AdmissionOutcome {
        AdmissionOutcome {
            refusal: Some(self.refusal(reason, wait)),
            shed: Vec::new(),
        }
    }

    fn refusal(&mut self, reason: RefusalReason, wait: Duration) -> Refusal {
        let jitter = 1.0 + self.rng.random_range(0.0..RETRY_AFTER_JITTER_RATIO);
        let bounds = Duration::from_millis(RETRY_AFTER_MIN_MS)..=Duration::from_millis(RETRY_AFTER_MAX_MS);
        Refusal {
            verdict: RunVerdict::NotRun,
            retry_after: wait.mul_f64(jitter).clamp(*bounds.start(), *bounds.end()),
            reason,
        }
    }
}

impl PoolQueue {
    fn more_urgent_len(&self, class: PriorityClass) -> usize {
        self.lanes[..class as usize].iter().map(ClassLane::len).sum()
    }
}

fn expiry_entry(latest_start: Instant, key: EntryKey, request: &QueuedRequest) -> ExpiryEntry {
    ExpiryEntry {
        latest_start,
        sequence: key.1,
        key,
        pool: request.pool.clone(),
        class: request.class,
        tenant: request.tenant.clone(),
    }
}
