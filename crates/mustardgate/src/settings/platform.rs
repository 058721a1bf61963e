//! Settings of the platform's log and list of VMs.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

use super::RangeCheck;

/// The platform's log and list of VMs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform's HTTP listener.
    pub address: SocketAddr,
    /// Interval at which the list of VMs is fetched, in milliseconds.
    #[serde(default = "default_list_ms")]
    pub list_ms: u64,
    /// Time after which a call counts as unanswered, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Time for which the log keeps records, in seconds.
    #[serde(default = "default_retention_s")]
    pub retention_s: u64,
    /// Term of the lease of a failure domain, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
}

fn default_list_ms() -> u64 {
    1_000
}

fn default_timeout_ms() -> u64 {
    2_000
}

fn default_retention_s() -> u64 {
    86_400
}

fn default_lease_ms() -> u64 {
    6_000
}

impl PlatformSettings {
    /// Returns the interval at which the list of VMs is fetched.
    pub fn list_interval(&self) -> Duration {
        Duration::from_millis(self.list_ms)
    }

    /// Returns the time after which a call counts as unanswered.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the time for which the log keeps records.
    pub fn retention(&self) -> Duration {
        Duration::from_secs(self.retention_s)
    }

    /// Returns the term of the lease of a failure domain.
    pub fn lease_term(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    pub(super) fn check(&self, check: &mut RangeCheck) {
        check.within("platform", "list_ms", self.list_ms, 100..=60_000);
        check.within("platform", "timeout_ms", self.timeout_ms, 50..=60_000);
        check.within("platform", "retention_s", self.retention_s, 10..=31_536_000);
        check.within("platform", "lease_ms", self.lease_ms, 500..=120_000);
    }
}
