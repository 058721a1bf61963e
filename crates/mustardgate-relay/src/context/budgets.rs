//! This node's share of each service's retry budget.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::ServiceId,
    relay::{BudgetSettings, RetryShare, ShareUsage},
    retry::RetryAllowance,
};

use crate::{client::LONGEST_SILENCE, settings::BoundSettings};

/// Fraction of the configured ratio that is used, because whoever checks the budget counts over windows that are not
/// aligned with those of this node.
const RATIO_FACTOR: f64 = 0.6;
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
            fixed_retries: bounds.retry_budget_extra,
            shares: Mutex::default(),
        }
    }

    /// Counts a request for a service.
    pub fn record_request(&self, now: Instant, service: &ServiceId) {
        self.with_share(service, |share| share.record_request(now));
    }

    /// Returns the retry allowance of a service for an attempt plan, with the part of the fixed retries that this process
    /// was lent.
    pub fn allowance<'a>(&'a self, service: &'a ServiceId, part: f64) -> impl RetryAllowance + 'a {
        let floor = self.fixed_retries * part;
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
