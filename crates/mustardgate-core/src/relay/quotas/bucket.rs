//! The bucket of one tenant, from which the leader grants to all nodes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{
    QuotaGrant, QuotaUse,
    bounds::{FIXED_SHARE, FORGET_TIME, QuotaBounds},
};
use crate::relay::{ProcessNumber, TenantQuota};

/// Part of the bucket that is kept for waiting requests when nodes are granted what they expect to need.
const KEPT_PART: f64 = 0.5;
/// Part of the rest that one node gets at most at a time, so that the nodes that report first leave some to others.
const MAX_ADVANCE_PART: f64 = 0.25;
/// Shortest time that refused callers are told to stay away, and the longest.
const MIN_DELAY_S: f64 = 0.02;
const MAX_DELAY_S: f64 = 10.0;

/// Time of the rate for which refused requests are expected to come back. Few callers have time to wait for longer.
const MAX_POSTPONED_S: f64 = 2.0;

/// What a process reported last.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedUse {
    spent: f64,
    unled: f64,
    held: f64,
    /// What of it is not about to be used by waiting requests.
    idle: f64,
    expected: f64,
}

/// Since when the totals of a report count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TotalBase {
    /// Since the process was first answered in this term, and its totals are known.
    Reported,
    /// Since then, but what the process reported is not known any more.
    Unknown,
    /// The process has no answer of this term yet; with the first one its totals start anew.
    NextReport,
}

/// The bucket of one tenant. What nodes hold has been taken out of it.
#[derive(Debug)]
pub(super) struct TenantBucket {
    level: f64,
    filled_at: Instant,
    /// What all nodes hold together for requests that are still expected. It counts as saved up.
    idle: f64,
    /// What was counted for nodes that are not heard from, and that they have not reported yet.
    reserved: f64,
    /// Uses that callers were told to come back with later.
    postponed: f64,
    expected: f64,
    uses: BTreeMap<ProcessNumber, ReportedUse>,
}

impl TenantBucket {
    /// Creates a bucket that was empty at a time.
    pub(super) fn new(empty_at: Instant) -> Self {
        Self {
            level: 0.0,
            filled_at: empty_at,
            idle: 0.0,
            reserved: 0.0,
            postponed: 0.0,
            expected: 0.0,
            uses: BTreeMap::new(),
        }
    }

    /// Fills the bucket. `silent` is the part of the nodes that are not heard from, whose fixed shares count as used.
    pub(super) fn fill(&mut self, now: Instant, quota: &TenantQuota, bounds: &QuotaBounds, silent: f64) {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let filled = quota.rate_per_s * elapsed_s;
        let counted = filled * FIXED_SHARE * silent;
        let max_reserved = quota.rate_per_s * FIXED_SHARE * FORGET_TIME.as_secs_f64();
        self.reserved = (self.reserved + counted).min(max_reserved);
        self.postponed = (self.postponed - (filled - counted)).max(0.0);
        let room = (bounds.capacity(quota) - self.idle).max(0.0);
        self.level = (self.level + filled - counted).min(room);
    }

    /// Takes over what a process reports. What it used before the term does not concern this bucket, which began empty.
    pub(super) fn record(&mut self, process: ProcessNumber, reported: &QuotaUse, base: TotalBase, rate_per_s: f64) {
        let max_postponed = rate_per_s * MAX_POSTPONED_S;
        let last = self.uses.entry(process).or_default();
        let (spent, unled) = match base {
            TotalBase::Reported => (reported.spent - last.spent, reported.unled - last.unled),
            TotalBase::Unknown | TotalBase::NextReport => (0.0, 0.0),
        };
        let is_counted = base != TotalBase::NextReport;
        let counted = unled.max(0.0).min(self.reserved);
        self.reserved -= counted;
        self.level += last.held - reported.held - spent - (unled - counted);
        self.idle += reported.held - last.idle;
        self.expected += reported.expected - last.expected;
        self.postponed = (self.postponed + reported.refused).min(max_postponed);
        *last = ReportedUse {
            spent: if is_counted { reported.spent } else { 0.0 },
            unled: if is_counted { reported.unled } else { 0.0 },
            held: reported.held,
            idle: reported.held,
            expected: reported.expected,
        };
    }

    /// Grants a process what its waiting requests need, and if much is left, what it expects to need.
    pub(super) fn grant(
        &mut self,
        process: ProcessNumber,
        reported: &QuotaUse,
        quota: &TenantQuota,
        bounds: &QuotaBounds,
    ) -> QuotaGrant {
        let capacity = bounds.capacity(quota);
        let granted = self.granted_to_waiting(reported, capacity);
        self.level -= granted;
        let is_short = granted < reported.wanted;
        let advance = if is_short {
            0.0
        } else {
            self.advance(reported, capacity)
        };
        self.level -= advance;
        let sum = granted + advance;
        self.idle += advance;
        let granted_use = self.uses.entry(process).or_default();
        granted_use.held += sum;
        granted_use.idle += advance;
        QuotaGrant {
            tenant: reported.tenant.clone(),
            granted: sum,
            delay: if is_short {
                self.delay(reported, quota)
            } else {
                Duration::ZERO
            },
        }
    }

    /// Forgets a process. What it held counts as used.
    pub(super) fn forget(&mut self, process: ProcessNumber) {
        if let Some(last) = self.uses.remove(&process) {
            self.idle -= last.idle;
            self.expected -= last.expected;
        }
    }

    /// Returns what is left, and what nodes hold for requests that they expect.
    pub(super) fn balance(&self) -> (f64, f64) {
        (self.level, self.idle)
    }

    /// Grants whole requests; less than one is of no use to the node and would be missed by others.
    fn granted_to_waiting(&self, reported: &QuotaUse, capacity: f64) -> f64 {
        let wanted = reported.wanted;
        if self.level >= wanted {
            return wanted;
        }
        let one = if reported.unit > 0.0 {
            reported.unit.min(wanted)
        } else {
            wanted
        };
        // The bucket never holds enough for a request that is larger than it, and owes the rest afterwards.
        let needed = if one <= capacity { one } else { capacity * KEPT_PART };
        if self.level < needed {
            return 0.0;
        }
        let whole = (self.level / one).floor() * one;
        whole.max(one)
    }

    /// Grants what a node expects to need: of what is left above the kept part, or by the node's part of the demand.
    fn advance(&self, reported: &QuotaUse, capacity: f64) -> f64 {
        if reported.unit <= 0.0 || reported.expected <= 0.0 {
            return 0.0;
        }
        let spare = (self.level - capacity * KEPT_PART).max(0.0) * MAX_ADVANCE_PART;
        let demand_part = reported.expected / self.expected.max(reported.expected);
        let fair = self.level.max(0.0) * KEPT_PART * demand_part;
        let most = reported.expected.min(spare.max(fair));
        (most / reported.unit).floor() * reported.unit
    }

    /// Returns when there is enough for one request, after those that were told to come back before.
    fn delay(&self, reported: &QuotaUse, quota: &TenantQuota) -> Duration {
        let missing = reported.unit.min(reported.wanted) - self.level + self.postponed;
        let delay_s = missing.max(0.0) / quota.rate_per_s;
        Duration::from_secs_f64(delay_s.clamp(MIN_DELAY_S, MAX_DELAY_S))
    }
}
