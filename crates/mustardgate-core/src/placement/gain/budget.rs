//! Limits on loads from the weight store and on adapter loads, scaled to one failure domain.

use std::time::Instant;

use crate::resources::PolicySpec;

/// Token bucket for the model loads of one failure domain.
#[derive(Clone, Debug)]
pub(in crate::placement) struct LoadBudget {
    domain_share: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
}

/// Number of loads that one plan may begin.
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

    /// Refills the bucket and returns the allowance: models are limited in rate and concurrency, adapters in
    /// concurrency only.
    pub(in crate::placement) fn allowance(
        &mut self,
        now: Instant,
        policy: &PolicySpec,
        model_loads_in_flight: u32,
        adapter_loads_in_flight: u32,
    ) -> LoadAllowance {
        let loads_per_second = policy.store_loads_per_second * self.domain_share;
        let burst = loads_per_second.max(1.0);
        let refill = match self.refilled_at.replace(now) {
            Some(last_refill) => now.saturating_duration_since(last_refill).as_secs_f64() * loads_per_second,
            None => 1.0,
        };
        self.tokens = (self.tokens + refill).min(burst);
        let domain_limit = |limit: u32| (f64::from(limit) * self.domain_share).floor() as u32;
        let free_model_loads = domain_limit(policy.store_concurrent_loads).saturating_sub(model_loads_in_flight);
        LoadAllowance {
            models: free_model_loads.min(self.tokens as u32),
            adapters: domain_limit(policy.adapter_loads_in_flight).saturating_sub(adapter_loads_in_flight),
        }
    }

    /// Takes a token for a proposed model load.
    pub(in crate::placement) fn spend_model_load(&mut self) {
        self.tokens -= 1.0;
    }
}
