//! Settings of a planned stop.

use std::time::Duration;

use mustardgate_core::drain::DrainTiming;
use serde::Deserialize;

use super::RangeCheck;

/// Timing of a planned stop.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time between reporting not ready and refusing new connections, in milliseconds, for load balancers to react.
    pub grace_ms: u64,
    /// Time after which requests still in flight are ended early, each with its verdict, in milliseconds.
    pub limit_ms: u64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            grace_ms: 1_000,
            limit_ms: 60_000,
        }
    }
}

impl DrainSettings {
    /// Returns the time between reporting not ready and refusing new connections.
    pub fn grace_period(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }

    /// Returns the timing for the decision whether enough of a planned stop is left for a request.
    pub fn timing(&self) -> DrainTiming {
        DrainTiming {
            grace: self.grace_period(),
            limit: Duration::from_millis(self.limit_ms),
        }
    }

    pub(super) fn check(&self, check: &mut RangeCheck) {
        check.within("drain", "grace_ms", self.grace_ms, 0..=60_000);
        check.within("drain", "limit_ms", self.limit_ms, 100..=3_600_000);
    }
}
