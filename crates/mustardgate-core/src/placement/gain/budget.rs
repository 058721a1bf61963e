//! Limits of the weight store and of adapter loads, as this domain's share of them.

use std::time::Instant;

use crate::resources::PolicySpec;

/// Loads that this domain may still begin.
#[derive(Clone, Debug)]
pub(in crate::placement) struct LoadBudget {
    domain_share: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
}

/// Loads that may be begun in one plan.
#[derive(Clone, Copy, Debug)]
pub(in crate::placement) struct LoadAllowance {
    pub(in crate::placement) models: u32,
    pub(in crate::placement) adapters: u32,
}

impl LoadBudget {
    pub(in crate::placement) fn new(domain_share: f64) -> Self {
        Self {
            domain_share,
            tokens: 0.0,
            refilled_at: None,
        }
    }

    /// Returns the allowance now: rate and concurrency for models, concurrency alone for adapters.
    pub(in crate::placement) fn allowance(
        &mut self,
        now: Instant,
        policy: &PolicySpec,
        model_loads: u32,
        adapter_loads: u32,
    ) -> LoadAllowance {
        let rate = policy.store_loads_per_second * self.domain_share;
        let burst = rate.max(1.0);
        let earned = match self.refilled_at.replace(now) {
            Some(last) => now.saturating_duration_since(last).as_secs_f64() * rate,
            None => 1.0,
        };
        self.tokens = (self.tokens + earned).min(burst);
        let share = |limit: u32| (f64::from(limit) * self.domain_share).floor() as u32;
        let concurrent = share(policy.store_concurrent_loads).saturating_sub(model_loads);
        LoadAllowance {
            models: concurrent.min(self.tokens as u32),
            adapters: share(policy.adapter_loads_in_flight).saturating_sub(adapter_loads),
        }
    }

    /// Pays for a model load that was proposed.
    pub(in crate::placement) fn spend_model(&mut self) {
        self.tokens -= 1.0;
    }
}
