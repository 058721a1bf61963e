//! Shares of the retry budget by service.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::ServiceId,
    relay::{BudgetSettings, RetryShare},
    retry::RetryAllowance,
};

use crate::settings::BoundSettings;

/// Part of the stated ratio that is used, because the window of whoever counts is not ours.
const RATIO_SHARE: f64 = 0.6;
/// Part of the fixed retries that is shared out, because the two sides of a cut each share it among themselves.
const EXTRA_SHARE: f64 = 0.5;
/// Retries of a node in one window before the number of nodes is known.
const FLOOR: f64 = 1.0;

/// Shares of the retry budget by service.
#[derive(Debug)]
pub struct BudgetBoard {
    settings: BudgetSettings,
    extra: f64,
    shares: Mutex<BTreeMap<ServiceId, RetryShare>>,
}

impl BudgetBoard {
    /// Creates shares without any request.
    pub fn new(bounds: &BoundSettings) -> Self {
        Self {
            settings: BudgetSettings {
                ratio: bounds.retry_budget_ratio * RATIO_SHARE,
                floor: FLOOR,
                window: Duration::from_secs_f64(bounds.budget_window_s),
            },
            extra: bounds.retry_budget_extra * EXTRA_SHARE,
            shares: Mutex::default(),
        }
    }

    /// Counts a request for a service.
    pub fn record_request(&self, now: Instant, service: &ServiceId) {
        self.with(service, |share| share.record_request(now));
    }

    /// Returns the allowance of a service, to be handed to a plan; `nodes` share the fixed part, 0 if their number is not
    /// known.
    pub fn allowance<'a>(&'a self, service: &'a ServiceId, nodes: u32) -> impl RetryAllowance + 'a {
        let floor = match nodes {
            0 => FLOOR,
            nodes => self.extra / f64::from(nodes),
        };
        self.with(service, |share| share.set_floor(floor));
        ServiceAllowance { board: self, service }
    }

    fn with<T>(&self, service: &ServiceId, act: impl FnOnce(&mut RetryShare) -> T) -> T {
        let mut shares = self.lock();
        let share = shares
            .entry(service.clone())
            .or_insert_with(|| RetryShare::new(self.settings));
        act(share)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, RetryShare>> {
        self.shares.lock().expect("no holder of the lock panics")
    }
}

struct ServiceAllowance<'a> {
    board: &'a BudgetBoard,
    service: &'a ServiceId,
}

impl RetryAllowance for ServiceAllowance<'_> {
    fn spend(&mut self, now: Instant) -> bool {
        self.board.with(self.service, |share| share.spend(now))
    }
}
