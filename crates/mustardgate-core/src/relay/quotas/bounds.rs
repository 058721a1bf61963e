//! Bounds on what may run of one tenant, and what follows from them for buckets.

use std::time::Duration;

use crate::relay::{QuotaUnit, TenantQuota};

/// Part of a rate that all nodes without a leader may use together. It leaves room for what a leader grants meanwhile
/// to nodes that it has not yet missed.
pub(super) const FIXED_SHARE: f64 = 0.7;
/// Time for which a leader counts the fixed share of a node that it does not hear from.
pub(super) const FORGET_TIME: Duration = Duration::from_secs(600);
/// Smallest time for which a bucket saves its rate up: what arrives in a short time is never even.
const MIN_SAVED_TIME_S: f64 = 0.25;
/// Part of the tolerated excess that buckets use. The rest covers requests that are larger than a bucket, and the draws of
/// nodes without a leader.
const USED_EXCESS: f64 = 0.5;

/// Bounds on what runners may run of one tenant in a window: `(rate * window + burst) * (1 + overage) + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Tolerated excess, as a part of the quota.
    pub overage: f64,
    /// Tolerated excess in tokens, whatever the quota.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the units that may run in one window.
    pub fn allowed(&self, quota: &TenantQuota) -> f64 {
        let whole = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        whole * (1.0 + self.overage) + self.slack_units(quota)
    }

    /// Returns the units that a bucket saves up: the burst, or what the tolerated excess covers of a smaller one.
    pub(super) fn capacity(&self, quota: &TenantQuota) -> f64 {
        let excess_time_s = self.overage * self.window.as_secs_f64() * USED_EXCESS;
        let rest = quota.rate_per_s * excess_time_s.min(MIN_SAVED_TIME_S) + self.slack_units(quota) * USED_EXCESS;
        quota.burst.max(rest).max(1.0)
    }

    /// Returns the part of a rate that nodes without a leader may use together after so long without one. A leader
    /// that counts a node's share no longer may grant the whole rate to others.
    pub(super) fn fixed_share(&self, unled_for: Duration) -> f64 {
        if unled_for < FORGET_TIME {
            FIXED_SHARE
        } else {
            FIXED_SHARE.min(self.overage)
        }
    }

    /// Returns the slack in units of a quota; it is stated in tokens.
    fn slack_units(&self, quota: &TenantQuota) -> f64 {
        match quota.unit {
            QuotaUnit::Tokens => self.slack,
            QuotaUnit::Requests => 0.0,
        }
    }
}
