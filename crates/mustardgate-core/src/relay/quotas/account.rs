//! What a node knows of one tenant's quota.

use std::time::{Duration, Instant};

use super::{QuotaGrant, QuotaUse, fixed_share::FixedShare};
use crate::ids::TenantId;

/// Time over which demand is averaged.
const DEMAND_TIME_S: f64 = 2.0;
/// Time for which a node expects demand: until its next report.
const EXPECTED_TIME_S: f64 = 0.7;
/// Smallest expected number of requests for which a node asks in advance. Below it, grants would mostly lie unused at many
/// nodes.
const MIN_EXPECTED_REQUESTS: f64 = 1.0;
/// Weight of one request in the average use of a request.
const UNIT_WEIGHT: f64 = 0.1;
/// Longest time for which a node does not ask again after the leader had too little. Others may use up less meanwhile than
/// was expected.
const MAX_PAUSE: Duration = Duration::from_millis(150);

/// Totals at the time of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct AccountTotals {
    pub(super) spent: f64,
    pub(super) unled: f64,
    pub(super) held: f64,
    expected: f64,
}

/// What a node has used of one tenant's quota and may still use.
#[derive(Debug)]
pub(super) struct TenantAccount {
    pub(super) totals: AccountTotals,
    /// Totals as the leader knows them since the last report that it answered.
    pub(super) reported: Option<AccountTotals>,
    waiting: f64,
    waiting_count: f64,
    refused: f64,
    /// Demand per second, and when it was averaged.
    demand: f64,
    demand_at: Instant,
    unit: f64,
    /// Until when the leader need not be asked, and when it expects to have enough.
    shortage: Option<(Instant, Instant)>,
    pub(super) share: Option<FixedShare>,
}

impl TenantAccount {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            totals: AccountTotals::default(),
            reported: None,
            waiting: 0.0,
            waiting_count: 0.0,
            refused: 0.0,
            demand: 0.0,
            demand_at: now,
            unit: 0.0,
            shortage: None,
            share: None,
        }
    }

    /// Counts a new request.
    pub(super) fn record_demand(&mut self, now: Instant, cost: f64) {
        self.decay(now);
        self.demand += cost / DEMAND_TIME_S;
        self.unit = if self.unit > 0.0 {
            self.unit + (cost - self.unit) * UNIT_WEIGHT
        } else {
            cost
        };
    }

    /// Takes a request's use from the grants, if they suffice.
    pub(super) fn spend(&mut self, cost: f64) -> bool {
        if self.totals.held < cost {
            return false;
        }
        self.force_spend(cost);
        true
    }

    /// Takes a use from the grants whether or not they suffice.
    pub(super) fn force_spend(&mut self, cost: f64) {
        self.totals.held -= cost;
        self.totals.spent += cost;
    }

    /// Returns the time until the leader expects to have enough, if it need not be asked before.
    pub(super) fn shortage_left(&self, now: Instant) -> Option<Duration> {
        let (pause_ends, ends) = self.shortage?;
        (now < pause_ends).then(|| ends.saturating_duration_since(now))
    }

    /// Has the next report ask for a request that waits.
    pub(super) fn wait(&mut self, cost: f64) {
        self.waiting += cost;
        self.waiting_count += 1.0;
    }

    pub(super) fn record_refusal(&mut self, cost: f64) {
        self.refused += cost;
    }

    /// Drops the grants, which are no longer valid.
    pub(super) fn expire(&mut self) {
        self.totals.held = 0.0;
        self.shortage = None;
    }

    /// Returns what to report, if anything has changed or is needed.
    pub(super) fn take_use(&mut self, now: Instant, tenant: &TenantId) -> Option<QuotaUse> {
        self.decay(now);
        let waiting = std::mem::take(&mut self.waiting);
        let expected = self.expected();
        // What is not needed here is returned, since another node may need it, and what was used without a grant is owed
        // by all nodes.
        self.totals.held = self.totals.held.clamp(0.0, expected + waiting);
        self.totals.expected = (expected - self.totals.held).max(0.0);
        let count = std::mem::take(&mut self.waiting_count);
        let refused = std::mem::take(&mut self.refused);
        let is_changed = self.reported != Some(self.totals);
        if !is_changed && waiting == 0.0 && refused == 0.0 && self.totals.expected == 0.0 {
            return None;
        }
        Some(QuotaUse {
            tenant: tenant.clone(),
            spent: self.totals.spent,
            unled: self.totals.unled,
            held: self.totals.held,
            wanted: (waiting - self.totals.held).max(0.0),
            expected: self.totals.expected,
            unit: if count > 0.0 { waiting / count } else { self.unit },
            refused,
        })
    }

    /// Takes over the answer to a report.
    pub(super) fn apply(&mut self, now: Instant, grant: &QuotaGrant) {
        let granted = grant.granted.max(0.0);
        self.totals.held += granted;
        // The leader counts it as held until it is told otherwise.
        if let Some(reported) = &mut self.reported {
            reported.held += granted;
        }
        self.shortage = None;
        if !grant.delay.is_zero() {
            self.pause(now, grant.delay);
        }
    }

    /// Does not ask the leader for a while, because it has too little for a time.
    pub(super) fn pause(&mut self, now: Instant, delay: Duration) {
        self.shortage = Some((now + delay.min(MAX_PAUSE), now + delay));
    }

    /// Counts totals from the report that the leader of a new term answered first.
    pub(super) fn rebase(&mut self, at_report: AccountTotals) {
        self.totals.spent -= at_report.spent;
        self.totals.unled -= at_report.unled;
        self.reported = Some(AccountTotals {
            spent: 0.0,
            unled: 0.0,
            ..at_report
        });
    }

    fn decay(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand *= (-elapsed_s / DEMAND_TIME_S).exp();
        self.demand_at = self.demand_at.max(now);
    }

    /// Returns the demand that is expected until the next report, in whole requests.
    fn expected(&self) -> f64 {
        let requests = self.demand * EXPECTED_TIME_S / self.unit.max(f64::MIN_POSITIVE);
        if requests < MIN_EXPECTED_REQUESTS {
            return 0.0;
        }
        requests.ceil() * self.unit
    }
}
