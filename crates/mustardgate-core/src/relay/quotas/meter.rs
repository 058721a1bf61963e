//! Admission of the requests that a node receives, by what the leader granted it of their tenants' quotas.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::{
    QuotaAnswer, QuotaReport, QuotaUse,
    account::{AccountTotals, TenantAccount},
    bounds::QuotaBounds,
    fixed_share::FixedShare,
};
use crate::{
    ids::TenantId,
    relay::{ProcessNumber, TenantQuota},
};

/// Time from a report for which the grants in its answer are valid: about two intervals between reports.
const GRANT_TIME: Duration = Duration::from_millis(1_500);
/// Time after which another report may follow one without an answer, which then no longer counts: requests wait for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay of refused callers while nothing of a limited tenant may be admitted.
const UNKNOWN_DELAY: Duration = Duration::from_millis(700);

/// A request whose admission depends on a quota.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest<'a> {
    /// Its tenant.
    pub tenant: &'a TenantId,
    /// Quota of the tenant.
    pub quota: &'a TenantQuota,
    /// What it uses, in units of the quota.
    pub cost: f64,
    /// Number of nodes, or 0 if it is not known.
    pub nodes: u32,
    /// A random number from 0 up to 1.
    pub draw: f64,
    /// Whether this is the first decision on the request.
    pub is_new: bool,
}

/// From what an admitted request was paid, so that it can be given back.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaPermit {
    tenant: TenantId,
    cost: f64,
    is_led: bool,
    /// Term whose grants it used.
    term: Option<u64>,
}

impl QuotaPermit {
    /// Returns the tenant that pays.
    pub(super) fn tenant(&self) -> &TenantId {
        &self.tenant
    }

    /// Returns what the request uses.
    pub(super) fn cost(&self) -> f64 {
        self.cost
    }
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaVerdict {
    /// The request may be sent.
    Admitted(QuotaPermit),
    /// The leader has to be asked first, with the next report.
    Ask,
    /// The quota is used up for this time.
    Refused(Duration),
}

/// A report that was not answered yet.
#[derive(Debug)]
struct OpenReport {
    number: u64,
    asked_at: Instant,
    totals: BTreeMap<TenantId, AccountTotals>,
    /// Tenants with waiting requests.
    asked: BTreeSet<TenantId>,
}

/// What a node has used of all quotas and may still use. All times are on the clock of the lease, so that grants also end
/// while the node is frozen.
#[derive(Debug)]
pub struct QuotaMeter {
    bounds: QuotaBounds,
    process: ProcessNumber,
    number: u64,
    term: Option<u64>,
    open: Option<OpenReport>,
    /// Until when the grants are valid.
    led_until: Option<Instant>,
    /// Since when there are no valid grants.
    unled_since: Option<Instant>,
    accounts: BTreeMap<TenantId, TenantAccount>,
}

impl QuotaMeter {
    /// Creates the meter of a process that has no leader yet.
    pub fn new(bounds: QuotaBounds, process: ProcessNumber) -> Self {
        Self {
            bounds,
            process,
            number: 0,
            term: None,
            open: None,
            led_until: None,
            unled_since: None,
            accounts: BTreeMap::new(),
        }
    }

    /// Decides on a request. Without a leader, the node uses its share of a fixed part of the rate.
    pub fn admit(&mut self, now: Instant, request: &QuotaRequest<'_>) -> QuotaVerdict {
        self.update_led(now);
        let (is_led, term) = (self.led_until.is_some(), self.term);
        let (unled_since, bounds) = (self.unled_since, self.bounds);
        let account = self.account(now, request.tenant);
        if request.is_new {
            account.record_demand(now, request.cost);
        }
        let permit = QuotaPermit {
            tenant: request.tenant.clone(),
            cost: request.cost,
            is_led,
            term,
        };
        if is_led {
            if account.spend(request.cost) {
                return QuotaVerdict::Admitted(permit);
            }
            if let Some(left) = account.shortage_left(now) {
                return QuotaVerdict::Refused(left);
            }
            account.wait(request.cost);
            return QuotaVerdict::Ask;
        }
        if request.nodes == 0 {
            return QuotaVerdict::Refused(UNKNOWN_DELAY);
        }
        let since = unled_since.unwrap_or(now);
        let share = account.share.get_or_insert_with(|| FixedShare::new(since));
        let part = bounds.fixed_share(now.saturating_duration_since(since));
        let rate = request.quota.rate_per_s * part;
        match share.admit(now, request.cost, rate, request.nodes, request.draw) {
            Ok(()) => {
                account.totals.unled += request.cost;
                QuotaVerdict::Admitted(permit)
            }
            Err(delay) => QuotaVerdict::Refused(delay),
        }
    }

    /// Counts a request that is finally refused, so that callers which come back later are told apart.
    pub fn record_refusal(&mut self, now: Instant, tenant: &TenantId, cost: f64) {
        self.account(now, tenant).record_refusal(cost);
    }

    /// Gives back what an admitted request was to use, because it does not run.
    pub fn give_back(&mut self, now: Instant, permit: &QuotaPermit) {
        self.update_led(now);
        let is_valid = self.led_until.is_some() && self.term == permit.term;
        let account = self.account(now, &permit.tenant);
        if !permit.is_led {
            account.totals.unled -= permit.cost;
            if let Some(share) = &mut account.share {
                share.give_back(permit.cost);
            }
            return;
        }
        account.totals.spent -= permit.cost;
        if is_valid {
            account.totals.held += permit.cost;
        }
    }

    /// Counts an admitted request once more, because it is sent again after it may have run.
    pub fn charge_again(&mut self, now: Instant, permit: &QuotaPermit) {
        self.update_led(now);
        let is_led = self.led_until.is_some();
        let account = self.account(now, &permit.tenant);
        if is_led {
            account.force_spend(permit.cost);
        } else {
            account.totals.unled += permit.cost;
        }
    }

    /// Returns what to report to the leader, unless a report is under way. One report at a time makes sure that the leader
    /// knows what the node holds.
    pub fn begin_report(&mut self, now: Instant) -> Option<QuotaReport> {
        let is_open = |open: &OpenReport| now.saturating_duration_since(open.asked_at) < REPORT_TIMEOUT;
        if self.open.as_ref().is_some_and(is_open) {
            return None;
        }
        self.update_led(now);
        self.number += 1;
        let accounts = self.accounts.iter_mut();
        let uses: Vec<QuotaUse> = accounts
            .filter_map(|(tenant, account)| account.take_use(now, tenant))
            .collect();
        let waiting = uses.iter().filter(|reported| reported.wanted > 0.0);
        let totals = self
            .accounts
            .iter()
            .map(|(tenant, account)| (tenant.clone(), account.totals));
        self.open = Some(OpenReport {
            number: self.number,
            asked_at: now,
            totals: totals.collect(),
            asked: waiting.map(|reported| reported.tenant.clone()).collect(),
        });
        Some(QuotaReport {
            process: self.process,
            number: self.number,
            term: self.term,
            uses,
        })
    }

    /// Takes over the answer to a report. Without one, the grants end at once: the leader may have lost its term.
    pub fn end_report(&mut self, now: Instant, number: u64, answer: Option<&QuotaAnswer>) {
        let Some(open) = self.open.take_if(|open| open.number == number) else {
            return;
        };
        let until = open.asked_at + GRANT_TIME;
        let Some(answer) = answer.filter(|_| now < until) else {
            self.end_grants(now);
            return;
        };
        // Grants that ran out while the report was under way were reported as held, so the answer renews none of them.
        self.update_led(now);
        let is_new_term = self.term.replace(answer.term) != Some(answer.term);
        for (tenant, totals) in open.totals {
            let Some(account) = self.accounts.get_mut(&tenant) else {
                continue;
            };
            if is_new_term {
                account.rebase(totals);
            } else {
                account.reported = Some(totals);
            }
        }
        if self.led_until.replace(until).is_none() {
            self.unled_since = None;
            self.accounts.values_mut().for_each(|account| account.share = None);
        }
        // A leader with an older configuration does not know the quota yet.
        for tenant in &open.asked {
            if let Some(account) = self.accounts.get_mut(tenant) {
                account.pause(now, UNKNOWN_DELAY);
            }
        }
        for grant in &answer.grants {
            if let Some(account) = self.accounts.get_mut(&grant.tenant) {
                account.apply(now, grant);
            }
        }
    }

    /// Counts what was used of a fixed share without this meter, or given back if it is below zero.
    pub(super) fn record_unled(&mut self, now: Instant, tenant: &TenantId, cost: f64) {
        self.account(now, tenant).totals.unled += cost;
    }

    /// Empties the fixed share, which fills from now on unless there are valid grants.
    pub(super) fn restart(&mut self, now: Instant) {
        self.unled_since = (!self.is_led(now)).then_some(now);
        self.accounts.values_mut().for_each(|account| account.share = None);
    }

    /// Returns whether a leader grants what this node admits.
    pub fn is_led(&self, now: Instant) -> bool {
        self.led_until.is_some_and(|until| now < until)
    }

    fn account(&mut self, now: Instant, tenant: &TenantId) -> &mut TenantAccount {
        self.accounts
            .entry(tenant.clone())
            .or_insert_with(|| TenantAccount::new(now))
    }

    fn update_led(&mut self, now: Instant) {
        match self.led_until {
            Some(until) if now >= until => self.end_grants(now),
            Some(_) => {}
            None => {
                self.unled_since.get_or_insert(now);
            }
        }
    }

    /// Drops all grants; the fixed share fills from now on.
    fn end_grants(&mut self, now: Instant) {
        self.led_until = None;
        self.unled_since.get_or_insert(now);
        self.accounts.values_mut().for_each(TenantAccount::expire);
    }
}
