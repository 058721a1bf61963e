//! Orders to single runners, with what the leader knows of each runner's state.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ids::ModelId,
    relay::{CountRange, EngineProfile, ListedRunner, ModelName, OrderClaims},
};

use crate::ports::RunnerReport;

/// A load order counts as failed after this multiple of the model's load time and one more second.
const LOAD_TIMEOUT_FACTOR: u32 = 2;
/// Time after which an eviction order counts as failed; an eviction waits for running requests to finish.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which a runner that cannot accept an order receives no further order about models.
const DEFER_TIME: Duration = Duration::from_millis(800);
/// Longest time by which a runner's report lags behind its state.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// Orders to one process of a runner. The lock of the cache is held while an order is in progress.
#[derive(Debug)]
pub(super) struct RunnerOrders {
    pub(super) started_at_ms: u64,
    pub(super) cache: tokio::sync::Mutex<ReportCache>,
    pending: Mutex<PendingMoves>,
    /// Orders that may still be executed, shared with the runner's other processes.
    claims: Arc<Mutex<OrderClaims>>,
}

/// The last report that the leader read from a runner, updated with the leader's own orders since.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportCache {
    pub(super) report: Option<RunnerReport>,
    /// Order count in the report as it was read.
    pub(super) reported_count: u64,
    /// Adapter whose eviction the runner has accepted and not reported yet, and when the order counts as failed.
    pub(super) eviction: Option<(ModelName, Instant)>,
    /// Order count after the last accepted order, and when it was accepted. Reports lag behind it by up to
    /// [`REPORT_LAG`].
    pub(super) last_count: Option<(u64, Instant)>,
    /// When reports show the effect of the last order whose reply contradicted the report or left its outcome unknown.
    pub(super) settled_at: Option<Instant>,
}

impl ReportCache {
    /// Discards the report; none is read until reports show the effect of the last order.
    pub(super) fn invalidate(&mut self) {
        self.report = None;
        self.settled_at = Some(clock::now() + REPORT_LAG);
    }

    /// Stores a report that was read now.
    pub(super) fn store(&mut self, report: Option<RunnerReport>) {
        self.reported_count = report.as_ref().map_or(0, |report| report.order_count);
        self.report = report;
    }

    /// Returns the order counts that the runner may have.
    pub(super) fn counts(&self) -> CountRange {
        CountRange {
            reported: self.reported_count,
            expected: self.report.as_ref().map_or(0, |report| report.order_count),
        }
    }

    /// Returns whether the report lacks the effect of orders accepted since, so that a new one may show more room.
    pub(super) fn is_extrapolated(&self) -> bool {
        let counts = self.counts();
        counts.reported < counts.expected
    }

    /// Records that the runner accepted the eviction of an adapter, which waits for requests to end.
    pub(super) fn begin_eviction(&mut self, name: &ModelName) {
        self.eviction = Some((name.clone(), clock::now() + EVICTION_TIMEOUT));
    }

    /// Returns whether an eviction is in progress that the report does not show as complete.
    pub(super) fn is_evicting(&mut self) -> bool {
        let held = self.report.as_ref().map(RunnerReport::held_adapters);
        self.eviction.take_if(|(name, until)| {
            let is_gone = held.as_ref().is_some_and(|held| {
                let adapters = held.get(&name.model);
                !adapters
                    .is_some_and(|adapters| name.adapter.as_ref().is_some_and(|adapter| adapters.contains(adapter)))
            });
            is_gone || clock::now() >= *until
        });
        self.eviction.is_some()
    }

    /// Returns whether a report may be older than the last accepted order. After [`REPORT_LAG`] a lower count is
    /// correct, because the runner counts an accepted eviction only once it is done.
    pub(super) fn is_outdated(&self, report: &RunnerReport) -> bool {
        self.last_count.is_some_and(|(count, at)| {
            report.order_count < count && clock::now().saturating_duration_since(at) < REPORT_LAG
        })
    }

    /// Returns whether a report read now would show the effect of every order.
    pub(super) fn is_settled(&self) -> bool {
        self.settled_at.is_none_or(|at| clock::now() >= at)
    }
}

/// Models whose ordered load or eviction the runner's entry does not show yet, with the time when the order counts as
/// failed.
#[derive(Clone, Debug, Default)]
struct PendingMoves {
    arriving: BTreeMap<ModelId, Instant>,
    leaving: BTreeMap<ModelId, Instant>,
    /// Until when the runner receives no further order about models.
    deferred_until: Option<Instant>,
}

impl RunnerOrders {
    /// Creates the state of a process that has received no order; `claims` are those of its runner.
    pub(super) fn new(started_at_ms: u64, claims: Arc<Mutex<OrderClaims>>) -> Self {
        Self {
            started_at_ms,
            cache: tokio::sync::Mutex::default(),
            pending: Mutex::default(),
            claims,
        }
    }

    /// Returns the claims, for the runner's next process.
    pub(super) fn shared_claims(&self) -> Arc<Mutex<OrderClaims>> {
        Arc::clone(&self.claims)
    }

    /// Returns the orders to the runner that may still be executed.
    pub(super) fn claims(&self) -> MutexGuard<'_, OrderClaims> {
        self.claims.lock().expect("no holder of the lock panics")
    }

    /// Returns the adapter slots that orders without an answer may take beside the next order.
    pub(super) fn claimed_slots(&self, cache: &ReportCache) -> u32 {
        let cost = |name: &ModelName| f64::from(u8::from(name.adapter.is_some()));
        self.claims().largest_claim(clock::now(), cache.counts(), cost, 1.0) as u32
    }

    /// Returns the weights that orders without an answer may bring beside the next order.
    pub(super) fn claimed_weights(&self, cache: &ReportCache, engine: &EngineProfile) -> f64 {
        let weights_mb = |name: &ModelName| {
            let profile = engine.models.get(&name.model).filter(|_| name.adapter.is_none());
            profile.map_or(0.0, |profile| profile.weights_mb)
        };
        let largest_mb = engine.models.values().map(|model| model.weights_mb).fold(0.0, f64::max);
        let counts = cache.counts();
        self.claims()
            .largest_claim(clock::now(), counts, weights_mb, largest_mb)
    }

    /// Records an order about a model that was or may have been accepted.
    pub(super) fn record_move(&self, model: &ModelId, is_load: bool, load_time: Duration) {
        let mut pending = self.pending();
        if is_load {
            let until = clock::now() + load_time * LOAD_TIMEOUT_FACTOR + Duration::from_secs(1);
            pending.arriving.insert(model.clone(), until);
        } else {
            pending.leaving.insert(model.clone(), clock::now() + EVICTION_TIMEOUT);
        }
    }

    /// Returns the models that may be loaded or evicted by orders that the entry does not show yet.
    pub(super) fn pending_moves(&self, listed: &ListedRunner) -> (BTreeSet<ModelId>, BTreeSet<ModelId>) {
        let now = clock::now();
        let mut pending = self.pending();
        pending
            .arriving
            .retain(|model, until| !listed.models.contains_key(model) && now < *until);
        pending
            .leaving
            .retain(|model, until| listed.models.contains_key(model) && now < *until);
        let names = |moves: &BTreeMap<ModelId, Instant>| moves.keys().cloned().collect();
        (names(&pending.arriving), names(&pending.leaving))
    }

    /// Sends no order about models for [`DEFER_TIME`], because the runner cannot accept one.
    pub(super) fn defer(&self) {
        self.pending().deferred_until = Some(clock::now() + DEFER_TIME);
    }

    /// Returns whether orders about models are deferred now.
    pub(super) fn is_deferred(&self) -> bool {
        self.pending().deferred_until.is_some_and(|until| clock::now() < until)
    }

    fn pending(&self) -> MutexGuard<'_, PendingMoves> {
        self.pending.lock().expect("no holder of the lock panics")
    }
}
