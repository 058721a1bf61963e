//! Recent use by tenant, so that tenants who ask for little are served before those who ask for much.

use std::collections::BTreeMap;

use crate::ids::TenantId;

const HALVING_DISPATCHES: u32 = 256;
const FORGOTTEN_BELOW: f64 = 0.05;

/// Work dispatched for each tenant, relative to its weight, of which older dispatches count less.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantUsage {
    used: BTreeMap<TenantId, f64>,
    dispatches: u32,
}

impl TenantUsage {
    pub(super) fn record(&mut self, tenant: &TenantId, weight: u32, cost: u32) {
        let share = f64::from(cost.max(1)) / f64::from(weight.max(1));
        *self.used.entry(tenant.clone()).or_default() += share;
        self.dispatches += 1;
        if self.dispatches >= HALVING_DISPATCHES {
            self.dispatches = 0;
            self.halve();
        }
    }

    /// Returns whether a tenant used less than tenants do on average.
    pub(super) fn is_sparse(&self, tenant: &TenantId) -> bool {
        let total: f64 = self.used.values().sum();
        let mean = total / self.used.len().max(1) as f64;
        self.used.get(tenant).copied().unwrap_or_default() < mean
    }

    fn halve(&mut self) {
        for used in self.used.values_mut() {
            *used /= 2.0;
        }
        self.used.retain(|_, used| *used >= FORGOTTEN_BELOW);
    }
}
