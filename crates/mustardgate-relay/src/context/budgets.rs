//! This node's share of each service's retry budget.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::ServiceId,
    relay::{BudgetSettings, NodeCount, RetryShare, ShareUsage, share_floor},
    retry::RetryAllowance,
};

use crate::{client::LONGEST_SILENCE, peers::REPORT_INTERVAL, settings::BoundSettings};

/// Fraction of the configured ratio that is used, because whoever checks the budget counts over windows that are not
/// aligned with those of this node.
const RATIO_FACTOR: f64 = 0.6;
/// Fraction of the fixed retries that is divided among the nodes. During a network partition the nodes of each of the two
/// sides divide it among themselves; and nodes that restart may spend their parts twice in one window.
const FIXED_RETRIES_FACTOR: f64 = 0.5;
/// Time after which a new leader has heard of all nodes that know it: each has reported twice.
const SETTLING_TIME: Duration = REPORT_INTERVAL.saturating_mul(2);

/// Retry budget shares by service.
#[derive(Debug)]
pub struct ServiceBudgets {
    settings: BudgetSettings,
    fixed_retries: f64,
    shares: Mutex<BTreeMap<ServiceId, RetryShare>>,
}

impl ServiceBudgets {
    /// Creates shares that have counted no request.
    pub fn new(bounds: &BoundSettings) -> Self {
        Self {
            settings: BudgetSettings {
                ratio: bounds.retry_budget_ratio * RATIO_FACTOR,
                floor: 0.0,
                window: Duration::from_secs_f64(bounds.budget_window_s),
                arrival_spread: LONGEST_SILENCE,
            },
            fixed_retries: bounds.retry_budget_extra * FIXED_RETRIES_FACTOR,
            shares: Mutex::default(),
        }
    }

    /// Counts a request for a service.
    pub fn record_request(&self, now: Instant, service: &ServiceId) {
        self.with_share(service, |share| share.record_request(now));
    }

    /// Returns the retry allowance of a service for an attempt plan, if `count` nodes divide the fixed retries.
    pub fn allowance<'a>(&'a self, service: &'a ServiceId, count: NodeCount) -> impl RetryAllowance + 'a {
        let floor = share_floor(self.fixed_retries, count, SETTLING_TIME);
        self.with_share(service, |share| share.set_floor(floor));
        ServiceAllowance { budgets: self, service }
    }

    /// Returns what this node's share of a service allows and has spent in the window that ends now.
    pub fn usage(&self, now: Instant, service: &ServiceId) -> ShareUsage {
        self.with_share(service, |share| share.usage(now))
    }

    fn with_share<T>(&self, service: &ServiceId, action: impl FnOnce(&mut RetryShare) -> T) -> T {
        let mut shares = self.lock();
        let share = shares
            .entry(service.clone())
            .or_insert_with(|| RetryShare::new(self.settings));
        action(share)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, RetryShare>> {
        self.shares.lock().expect("no holder of the lock panics")
    }
}

struct ServiceAllowance<'a> {
    budgets: &'a ServiceBudgets,
    service: &'a ServiceId,
}

impl RetryAllowance for ServiceAllowance<'_> {
    fn spend(&mut self, now: Instant) -> bool {
        self.budgets.with_share(self.service, |share| share.spend(now))
    }
}
