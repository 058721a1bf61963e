//! Admits requests and lets them wait for a slot at a runner; the queue has shards, each with its own lock.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use mustardgate_core::{
    admission::{AdmissionLimits, AdmissionQueue, PoolId, QueuedRequest, Refusal, RefusalReason, RefusedRequest},
    clock,
    ids::RequestId,
    log::Artifact,
    routing::{PrefixDigest, RouteRequest, RouteTicket, RunnerSelector},
    verdict::RunVerdict,
};
use tokio::{
    sync::oneshot,
    time::{self, MissedTickBehavior},
};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

/// Shards of the queue; the requests of one pool are always in the same one.
const SHARD_COUNT: usize = 4;
/// Interval at which waiting requests are checked against the current load and their deadlines.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a caller may retry when a request was refused because of an internal error of the queue.
const INTERNAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The slot that a request was granted, or why it was refused.
type SlotResult = Result<RouteTicket, Refusal>;

/// A request for a slot at a runner.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Entry for the queue; its pool comes from [`SlotRequest::pool_of`].
    pub queued: QueuedRequest,
    /// Weights that must be ready.
    pub artifact: Artifact,
    /// Digest of the prompt's first blocks, if affinity is wanted.
    pub prefix: Option<PrefixDigest>,
}

impl SlotRequest {
    /// Returns the pool of the runners that serve an artifact.
    pub fn pool_of(artifact: &Artifact) -> PoolId {
        let adapter = artifact.adapter.as_deref().unwrap_or_default();
        format!("{}+{adapter}@{}", artifact.model, artifact.version).into()
    }
}

/// Admits requests and grants them slots at runners.
#[derive(Debug)]
pub struct AdmissionController {
    selector: Arc<RunnerSelector>,
    shards: Vec<Mutex<AdmissionShard>>,
}

#[derive(Debug)]
struct AdmissionShard {
    queue: AdmissionQueue,
    waiters: BTreeMap<RequestId, oneshot::Sender<SlotResult>>,
    pools: BTreeMap<PoolId, Artifact>,
}

impl AdmissionController {
    /// Creates a controller; each shard gets an equal part of the limits.
    pub fn new(selector: Arc<RunnerSelector>, limits: AdmissionLimits, seed: u64) -> Self {
        let shard_limits = AdmissionLimits {
            max_requests: limits.max_requests.div_ceil(SHARD_COUNT),
            max_bytes: limits.max_bytes.div_ceil(SHARD_COUNT),
        };
        let shard = |index: usize| AdmissionShard {
            queue: AdmissionQueue::new(shard_limits, seed.wrapping_add(index as u64)),
            waiters: BTreeMap::new(),
            pools: BTreeMap::new(),
        };
        Self {
            selector,
            shards: (0..SHARD_COUNT).map(|index| Mutex::new(shard(index))).collect(),
        }
    }

    /// Waits for a slot at a runner and takes it.
    ///
    /// # Errors
    /// A [`Refusal`] as soon as it is known that the deadline cannot be met, or when the request is shed.
    pub async fn acquire(&self, request: SlotRequest) -> SlotResult {
        match self.offer(request) {
            OfferState::Decided(result) => result,
            OfferState::Queued(receiver) => receiver.await.unwrap_or_else(|_closed| Err(internal_refusal())),
        }
    }

    /// Grants the free slots in the pool of an artifact to waiting requests.
    pub fn grant_free_slots(&self, artifact: &Artifact) {
        let pool = SlotRequest::pool_of(artifact);
        self.shard(&pool).grant_free_slots(&self.selector, &pool, artifact);
    }

    /// Returns how many requests wait at this node.
    pub fn queued(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).queue.len()).sum()
    }

    /// Until `shutdown`, regularly grants free slots to waiting requests and refuses those that can no longer be
    /// answered in time.
    pub async fn review_until(&self, shutdown: CancellationToken) {
        let mut ticks = time::interval(REVIEW_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                _ = ticks.tick() => {}
            }
            for shard in &self.shards {
                lock(shard).review(&self.selector);
            }
        }
    }

    fn offer(&self, request: SlotRequest) -> OfferState {
        let pool = request.queued.pool.clone();
        let now = clock::now();
        let mut shard = self.shard(&pool);
        if shard.queue.pool_len(&pool) == 0 {
            let route = RouteRequest {
                artifact: request.artifact.clone(),
                prefix: request.prefix,
                excluded: Vec::new(),
            };
            if let Ok(ticket) = self.selector.select(now, &route) {
                return OfferState::Decided(Ok(ticket));
            }
        }
        let load = self.selector.pool_load(now, &request.artifact);
        let id = request.queued.request.clone();
        let Ok(outcome) = shard.queue.offer(now, request.queued, &load) else {
            return OfferState::Decided(Err(internal_refusal()));
        };
        shard.refuse(outcome.shed);
        if let Some(refusal) = outcome.refusal {
            return OfferState::Decided(Err(refusal));
        }
        let (sender, receiver) = oneshot::channel();
        shard.waiters.insert(id, sender);
        shard.pools.insert(pool, request.artifact);
        OfferState::Queued(receiver)
    }

    fn shard(&self, pool: &PoolId) -> MutexGuard<'_, AdmissionShard> {
        lock(&self.shards[xxh3_64(pool.as_bytes()) as usize % SHARD_COUNT])
    }
}

/// Result of offering a request: decided at once, or queued until the receiver gets the result.
#[derive(Debug)]
enum OfferState {
    Decided(SlotResult),
    Queued(oneshot::Receiver<SlotResult>),
}

impl AdmissionShard {
    fn review(&mut self, selector: &RunnerSelector) {
        let now = clock::now();
        let expired = self.queue.expire(now);
        self.refuse(expired);
        let pools: Vec<(PoolId, Artifact)> = self
            .pools
            .iter()
            .map(|(pool, artifact)| (pool.clone(), artifact.clone()))
            .collect();
        for (pool, artifact) in pools {
            let load = selector.pool_load(now, &artifact);
            let shed = self.queue.shed_infeasible(now, &pool, &load);
            self.refuse(shed);
            self.grant_free_slots(selector, &pool, &artifact);
        }
    }

    fn grant_free_slots(&mut self, selector: &RunnerSelector, pool: &PoolId, artifact: &Artifact) {
        let now = clock::now();
        let route = RouteRequest {
            artifact: artifact.clone(),
            prefix: None,
            excluded: Vec::new(),
        };
        while self.queue.pool_len(pool) > 0 {
            let Ok(ticket) = selector.select(now, &route) else {
                return;
            };
            self.grant_next(pool, ticket);
        }
        self.pools.remove(pool);
    }

    /// Grants the slot to the next request whose caller still waits.
    fn grant_next(&mut self, pool: &PoolId, ticket: RouteTicket) {
        let mut result = Ok(ticket);
        while let Some(queued) = self.queue.take(pool) {
            let Some(waiter) = self.waiters.remove(&queued.request) else {
                continue;
            };
            match waiter.send(result) {
                Ok(()) => return,
                Err(undelivered) => result = undelivered,
            }
        }
    }

    fn refuse(&mut self, refused: Vec<RefusedRequest>) {
        for refused in refused {
            if let Some(waiter) = self.waiters.remove(&refused.request.request) {
                // The send fails when the caller has disconnected, which needs no handling.
                drop(waiter.send(Err(refused.refusal)));
            }
        }
    }
}

fn internal_refusal() -> Refusal {
    Refusal {
        verdict: RunVerdict::NotRun,
        retry_after: INTERNAL_RETRY_AFTER,
        reason: RefusalReason::QueueFull,
    }
}

fn lock(shard: &Mutex<AdmissionShard>) -> MutexGuard<'_, AdmissionShard> {
    shard.lock().expect("no holder panics")
}
