//! Admission of requests and the wait for a place at a runner, in shards with a lock each.

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
const SHARDS: usize = 4;
/// Interval at which waiting requests are reviewed against load and time.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);
/// When a caller should come back after the queue refused for an internal reason.
const FALLBACK_RETRY: Duration = Duration::from_secs(1);

/// What a request waits for.
type PlaceGrant = Result<RouteTicket, Refusal>;

/// A request that wants a place at a runner.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// The request as the queue sees it; its pool is set by [`PlaceRequest::pool_of`].
    pub queued: QueuedRequest,
    /// Weights that must be ready.
    pub artifact: Artifact,
    /// Digest of the prompt's first blocks.
    pub prefix: Option<PrefixDigest>,
}

impl PlaceRequest {
    /// Returns the pool of an artifact.
    pub fn pool_of(artifact: &Artifact) -> PoolId {
        let adapter = artifact.adapter.as_deref().unwrap_or_default();
        format!("{}+{adapter}@{}", artifact.model, artifact.version).into()
    }
}

/// Admits requests and grants them places at runners.
#[derive(Debug)]
pub struct AdmissionDesk {
    selector: Arc<RunnerSelector>,
    shards: Vec<Mutex<DeskShard>>,
}

#[derive(Debug)]
struct DeskShard {
    queue: AdmissionQueue,
    waiters: BTreeMap<RequestId, oneshot::Sender<PlaceGrant>>,
    pools: BTreeMap<PoolId, Artifact>,
}

impl AdmissionDesk {
    /// Creates a desk; each shard gets an equal part of the limits.
    pub fn new(selector: Arc<RunnerSelector>, limits: AdmissionLimits, seed: u64) -> Self {
        let part = AdmissionLimits {
            max_requests: limits.max_requests.div_ceil(SHARDS),
            max_bytes: limits.max_bytes.div_ceil(SHARDS),
        };
        let shard = |index: usize| DeskShard {
            queue: AdmissionQueue::new(part, seed.wrapping_add(index as u64)),
            waiters: BTreeMap::new(),
            pools: BTreeMap::new(),
        };
        Self {
            selector,
            shards: (0..SHARDS).map(|index| Mutex::new(shard(index))).collect(),
        }
    }

    /// Returns a place at a runner as soon as there is one.
    ///
    /// # Errors
    /// A [`Refusal`], at once, when the deadline cannot be met or the request has to give way.
    pub async fn acquire(&self, request: PlaceRequest) -> PlaceGrant {
        match self.offer(request) {
            Waiting::Granted(grant) => grant,
            Waiting::Queued(receiver) => receiver.await.unwrap_or_else(|_closed| Err(internal_refusal())),
        }
    }

    /// Grants places that became free in the pool of an artifact.
    pub fn pump(&self, artifact: &Artifact) {
        let pool = PlaceRequest::pool_of(artifact);
        self.shard(&pool).pump(&self.selector, &pool, artifact);
    }

    /// Returns how many requests wait at this node.
    pub fn queued(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).queue.len()).sum()
    }

    /// Reviews waiting requests until `shutdown`, so that each is granted or refused at once when its time comes.
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

    fn offer(&self, request: PlaceRequest) -> Waiting {
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
                return Waiting::Granted(Ok(ticket));
            }
        }
        let load = self.selector.pool_load(now, &request.artifact);
        let name = request.queued.request.clone();
        let Ok(outcome) = shard.queue.offer(now, request.queued, &load) else {
            return Waiting::Granted(Err(internal_refusal()));
        };
        shard.tell(outcome.shed);
        if let Some(refusal) = outcome.refusal {
            return Waiting::Granted(Err(refusal));
        }
        let (sender, receiver) = oneshot::channel();
        shard.waiters.insert(name, sender);
        shard.pools.insert(pool, request.artifact);
        Waiting::Queued(receiver)
    }

    fn shard(&self, pool: &PoolId) -> MutexGuard<'_, DeskShard> {
        lock(&self.shards[xxh3_64(pool.as_bytes()) as usize % SHARDS])
    }
}

#[derive(Debug)]
enum Waiting {
    Granted(PlaceGrant),
    Queued(oneshot::Receiver<PlaceGrant>),
}

impl DeskShard {
    fn review(&mut self, selector: &RunnerSelector) {
        let now = clock::now();
        let expired = self.queue.expire(now);
        self.tell(expired);
        let pools: Vec<(PoolId, Artifact)> = self
            .pools
            .iter()
            .map(|(pool, artifact)| (pool.clone(), artifact.clone()))
            .collect();
        for (pool, artifact) in pools {
            let load = selector.pool_load(now, &artifact);
            let refused = self.queue.shed_infeasible(now, &pool, &load);
            self.tell(refused);
            self.pump(selector, &pool, &artifact);
        }
    }

    fn pump(&mut self, selector: &RunnerSelector, pool: &PoolId, artifact: &Artifact) {
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

    /// Gives the place to the next request whose caller still waits.
    fn grant_next(&mut self, pool: &PoolId, ticket: RouteTicket) {
        let mut grant = Ok(ticket);
        while let Some(queued) = self.queue.take(pool) {
            let Some(waiter) = self.waiters.remove(&queued.request) else {
                continue;
            };
            match waiter.send(grant) {
                Ok(()) => return,
                Err(unclaimed) => grant = unclaimed,
            }
        }
    }

    fn tell(&mut self, refused: Vec<RefusedRequest>) {
        for refused in refused {
            if let Some(waiter) = self.waiters.remove(&refused.request.request) {
                // A caller that hung up needs no refusal.
                drop(waiter.send(Err(refused.refusal)));
            }
        }
    }
}

fn internal_refusal() -> Refusal {
    Refusal {
        verdict: RunVerdict::NotRun,
        retry_after: FALLBACK_RETRY,
        reason: RefusalReason::QueueFull,
    }
}

fn lock(shard: &Mutex<DeskShard>) -> MutexGuard<'_, DeskShard> {
    shard.lock().expect("no holder of the lock panics")
}
