//! What nodes and the leader tell each other of quotas.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{ids::TenantId, relay::ProcessNumber};

/// What a node has used of quotas, and what it needs.
///
/// Uses are running totals, so that a lost report or answer neither loses nor doubles one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Number of the process.
    pub process: ProcessNumber,
    /// Number of the report, which grows with each one of the process.
    pub number: u64,
    /// Term of the leader that answered last, since whose first answer the totals count.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub term: Option<u64>,
    /// Tenants of which something has changed or is needed.
    #[serde(default)]
    pub uses: Vec<QuotaUse>,
}

/// What a node has used of one tenant's quota, and what it needs, in units of the quota.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaUse {
    /// The tenant.
    pub tenant: TenantId,
    /// Total used of grants.
    #[serde(default, skip_serializing_if = "is_default")]
    pub spent: f64,
    /// Total used without a leader.
    #[serde(default, skip_serializing_if = "is_default")]
    pub unled: f64,
    /// What is left of grants.
    #[serde(default, skip_serializing_if = "is_default")]
    pub held: f64,
    /// What waiting requests need in addition.
    #[serde(default, skip_serializing_if = "is_default")]
    pub wanted: f64,
    /// What the node expects to need in addition until the next report.
    #[serde(default, skip_serializing_if = "is_default")]
    pub expected: f64,
    /// Use of one request on average.
    #[serde(default, skip_serializing_if = "is_default")]
    pub unit: f64,
    /// What was refused since the last report.
    #[serde(default, skip_serializing_if = "is_default")]
    pub refused: f64,
}

impl QuotaReport {
    /// Returns whether all values are numbers, so that none can spoil a bucket.
    pub(super) fn is_valid(&self) -> bool {
        let is_number = |used: &QuotaUse| {
            let amounts = [used.held, used.wanted, used.expected, used.unit, used.refused];
            let are_amounts = amounts.iter().all(|value| value.is_finite() && *value >= 0.0);
            are_amounts && used.spent.is_finite() && used.unled.is_finite()
        };
        self.uses.iter().all(is_number)
    }
}

/// Answer of the leader to a [`QuotaReport`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// Term of the leader.
    pub term: u64,
    /// Grants of tenants that the report names and that have a quota.
    #[serde(default)]
    pub grants: Vec<QuotaGrant>,
}

/// What the leader grants of one tenant's quota, in addition to what the node holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The tenant.
    pub tenant: TenantId,
    /// Granted units.
    #[serde(default, skip_serializing_if = "is_default")]
    pub granted: f64,
    /// Time until there is enough for a request that was granted nothing.
    #[serde(default, skip_serializing_if = "is_default")]
    pub delay: Duration,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
