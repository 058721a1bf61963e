//! Recent usage by tenant, so that tenants with little usage are served before those with much.

use std::collections::BTreeMap;

use crate::ids::TenantId;

const DISPATCHES_PER_HALVING: u32 = 256;
const MIN_KEPT_USAGE: f64 = 0.05;

/// Work dispatched for each tenant relative to its weight, halved every [`DISPATCHES_PER_HALVING`] dispatches so that
/// older work counts less.
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
        if self.dispatches >= DISPATCHES_PER_HALVING {
            self.dispatches = 0;
            self.halve();
        }
    }

    /// Returns whether a tenant used less than the mean of all tenants with recent usage.
    pub(super) fn is_sparse(&self, tenant: &TenantId) -> bool {
        let total: f64 = self.used.values().sum();
        let mean = total / self.used.len().max(1) as f64;
        self.used.get(tenant).copied().unwrap_or_default() < mean
    }

    fn halve(&mut self) {
        for used in self.used.values_mut() {
            *used /= 2.0;
        }
        self.used.retain(|_, used| *used >= MIN_KEPT_USAGE);
    }
}
