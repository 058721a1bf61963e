//! Settings of connections to backend servers.

use std::time::Duration;

use serde::Deserialize;

use super::RangeCheck;

/// Connections to backend servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSettings {
    /// Time within which a connection must be established, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time between two chunks of an answer after which the attempt counts as broken, in milliseconds.
    pub stall_timeout_ms: u64,
    /// Interval at which an engine's report is read, in milliseconds.
    pub report_ms: u64,
    /// Maximum size of an answer of a plain service, in bytes.
    pub max_answer_bytes: usize,
    /// Retries and hedges that one success adds to the budget.
    pub retry_ratio: f64,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            stall_timeout_ms: 5_000,
            report_ms: 500,
            max_answer_bytes: 8 << 20,
            retry_ratio: 0.1,
        }
    }
}

impl BackendSettings {
    /// Returns the time within which a connection must be established.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns the time between two chunks of an answer after which the attempt counts as broken.
    pub fn stall_timeout(&self) -> Duration {
        Duration::from_millis(self.stall_timeout_ms)
    }

    /// Returns the interval at which an engine's report is read.
    pub fn report_interval(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }

    pub(super) fn check(&self, check: &mut RangeCheck) {
        check.within("backends", "connect_timeout_ms", self.connect_timeout_ms, 10..=10_000);
        check.within("backends", "stall_timeout_ms", self.stall_timeout_ms, 100..=600_000);
        check.within("backends", "report_ms", self.report_ms, 50..=60_000);
        check.within("backends", "max_answer_bytes", self.max_answer_bytes, 1_024..=256 << 20);
        check.within("backends", "retry_ratio", self.retry_ratio, 0.0..=1.0);
    }
}
