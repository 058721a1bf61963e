//! Quotas of tenants: what this node may admit, and the buckets that it keeps while it leads.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::TenantId,
    relay::{
        NodeMeter, NodePermit, NodeRefusal, QuotaAnswer, QuotaBounds, QuotaLedger, QuotaReport, QuotaRequest,
        QuotaSource,
    },
};
use rand::Rng;
use slog::{Logger, o};
use tokio::sync::{Notify, futures::Notified};

use super::ActiveRoutes;
use crate::leader::LeaderTerm;

/// Shortest time between two log lines about refusals of one tenant.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Time without a report after which the fixed shares of a pool begin anew, empty.
const POOL_IDLE_TIME: Duration = Duration::from_secs(3);
/// Time for which a neighbour that did not answer is not asked for grants.
const REST_TIME: Duration = Duration::from_secs(2);

/// Quotas on the clock of the lease.
#[derive(Debug)]
pub struct QuotaGuard {
    state: Mutex<QuotaState>,
    ledger: Mutex<QuotaLedger>,
    pool: Mutex<SharePool>,
    /// Neighbours that did not answer, and until when they are not asked.
    resting: Mutex<BTreeMap<SocketAddr, Instant>>,
    /// Told of each end of a report.
    answered: Notify,
    logger: Logger,
}

/// Fixed shares of nodes that no leader reaches, which this node keeps for them.
#[derive(Debug)]
struct SharePool {
    ledger: QuotaLedger,
    term: u64,
    asked_at: Option<Instant>,
}

#[derive(Debug)]
struct QuotaState {
    meter: NodeMeter,
    /// Whether the last report was answered.
    is_led: bool,
    refusals: BTreeMap<TenantId, RefusalCount>,
}

/// Refusals of one tenant since the last log line about them.
#[derive(Debug, Default)]
struct RefusalCount {
    requests: u64,
    units: f64,
    logged_at: Option<Instant>,
}

impl QuotaGuard {
    /// Creates the quotas of a process that was granted nothing.
    pub fn new(bounds: QuotaBounds, logger: Logger) -> Self {
        Self {
            state: Mutex::new(QuotaState {
                meter: NodeMeter::new(bounds, rand::rng().random()),
                is_led: false,
                refusals: BTreeMap::new(),
            }),
            ledger: Mutex::new(QuotaLedger::new(bounds)),
            pool: Mutex::new(SharePool {
                ledger: QuotaLedger::pool(bounds),
                term: rand::rng().random(),
                asked_at: None,
            }),
            resting: Mutex::default(),
            answered: Notify::new(),
            logger,
        }
    }

    /// Decides on a request.
    ///
    /// # Errors
    /// [`NodeRefusal`] if it cannot be admitted now.
    pub fn admit(&self, now: Instant, request: &QuotaRequest<'_>) -> Result<NodePermit, NodeRefusal> {
        self.lock().meter.admit(now, request)
    }

    /// Returns whom to ask for grants.
    pub fn source(&self, now: Instant) -> QuotaSource {
        self.lock().meter.source(now)
    }

    /// Waits for the end of the next report.
    pub fn next_answer(&self) -> Notified<'_> {
        self.answered.notified()
    }

    /// Counts a request that is finally refused, and logs the first one and then what was refused in each interval.
    pub fn record_refusal(&self, now: Instant, tenant: &TenantId, cost: f64, delay: Duration) {
        let mut state = self.lock();
        state.meter.record_refusal(now, tenant, cost);
        let count = state.refusals.entry(tenant.clone()).or_default();
        count.requests += 1;
        count.units += cost;
        let logged_now = clock::now();
        let is_recent = |at: Instant| logged_now.saturating_duration_since(at) < REFUSAL_LOG_INTERVAL;
        if count.logged_at.is_some_and(is_recent) {
            return;
        }
        let count = std::mem::replace(
            count,
            RefusalCount {
                logged_at: Some(logged_now),
                ..RefusalCount::default()
            },
        );
        let is_led = state.meter.source(now) == QuotaSource::Leader;
        drop(state);
        events::RELAY_QUOTA_EXCEEDED.write(
            &self.logger,
            o!(
                "retry_after_ms" => delay.as_millis() as u64,
                "is_led" => is_led,
                "units" => count.units,
                "requests" => count.requests,
                "tenant" => tenant.to_string(),
            ),
        );
    }

    /// Gives back what an admitted request was to use.
    pub fn give_back(&self, now: Instant, permit: &NodePermit) {
        self.lock().meter.give_back(now, permit);
    }

    /// Counts an admitted request once more.
    pub fn charge_again(&self, now: Instant, permit: &NodePermit) {
        self.lock().meter.charge_again(now, permit);
    }

    /// Returns what to report to the leader, unless no tenant has a quota or a report is under way.
    pub fn begin_report(
        &self,
        now: Instant,
        source: QuotaSource,
        routes: Option<&ActiveRoutes>,
    ) -> Option<QuotaReport> {
        routes.filter(|routes| !routes.quotas.is_empty())?;
        self.lock().meter.begin_report(now, source)
    }

    /// Takes over the answer to a report, if there is one.
    pub fn end_report(&self, now: Instant, source: QuotaSource, number: u64, answer: Option<&QuotaAnswer>, nodes: u32) {
        let mut state = self.lock();
        state.meter.end_report(now, source, number, answer);
        let is_led = state.meter.source(now) == QuotaSource::Leader;
        let was_led = std::mem::replace(&mut state.is_led, is_led);
        drop(state);
        self.answered.notify_waiters();
        if is_led == was_led {
            return;
        }
        let event = if is_led {
            events::RELAY_QUOTAS_GRANTED
        } else {
            events::RELAY_QUOTAS_FIXED
        };
        event.write(&self.logger, o!("nodes" => nodes));
    }

    /// Answers the report of a node in a term of this node.
    pub fn answer(
        &self,
        now: Instant,
        term: LeaderTerm,
        nodes: u32,
        node: SocketAddr,
        report: &QuotaReport,
        routes: &ActiveRoutes,
    ) -> Option<QuotaAnswer> {
        let mut ledger = self.ledger.lock().expect("no holder of the lock panics");
        if ledger.begin_term(now, term.token) {
            events::RELAY_QUOTA_TERM_BEGUN.write(&self.logger, o!("nodes" => nodes, "token" => term.token));
        }
        ledger.answer(now, node, nodes, report, |tenant| routes.quotas.get(tenant).copied())
    }

    /// Answers the report of a node that no leader reaches, from the fixed shares of the nodes that ask this one.
    pub fn answer_from_pool(
        &self,
        now: Instant,
        nodes: u32,
        node: SocketAddr,
        report: &QuotaReport,
        routes: &ActiveRoutes,
    ) -> Option<QuotaAnswer> {
        let mut pool = self.pool.lock().expect("no holder of the lock panics");
        let is_idle = |at: Instant| now.saturating_duration_since(at) >= POOL_IDLE_TIME;
        if pool.asked_at.replace(now).is_none_or(is_idle) {
            pool.term = pool.term.wrapping_add(1);
        }
        let term = pool.term;
        pool.ledger.begin_term(now, term);
        pool.ledger
            .answer(now, node, nodes, report, |tenant| routes.quotas.get(tenant).copied())
    }

    /// Does not ask a neighbour for a while that did not answer.
    pub fn rest_neighbour(&self, now: Instant, neighbour: SocketAddr) {
        let mut resting = self.resting.lock().expect("no holder of the lock panics");
        resting.retain(|_, until| now < *until);
        resting.insert(neighbour, now + REST_TIME);
    }

    /// Returns whether a neighbour may be asked.
    pub fn may_ask(&self, now: Instant, neighbour: SocketAddr) -> bool {
        let resting = self.resting.lock().expect("no holder of the lock panics");
        resting.get(&neighbour).is_none_or(|until| now >= *until)
    }

    fn lock(&self) -> MutexGuard<'_, QuotaState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
