//! The configuration on which an answer rests, for log lines and metrics.

use std::time::Duration;

use metrics::gauge;
use mustardgate_core::{clock, ports::LogTopic};

use super::RelayContext;

/// Says on which configuration an answer rests, so that a late version can be told from a route that never existed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigStamp {
    /// Version in force, or 0 before the first one.
    pub version: u64,
    /// Time for which it has been in force, in milliseconds.
    pub in_force_ms: u64,
    /// Time since the log was read for a newer one, by this node or for it, in milliseconds.
    pub log_read_ms: u64,
}

impl RelayContext {
    /// Returns the configuration on which an answer rests now.
    pub fn config_stamp(&self) -> ConfigStamp {
        let Some(active) = self.routes.current() else {
            return ConfigStamp::default();
        };
        let in_force = clock::now().saturating_duration_since(active.in_force_since);
        ConfigStamp {
            version: active.config.version,
            in_force_ms: in_force.as_millis() as u64,
            log_read_ms: self.config_age().as_millis() as u64,
        }
    }

    /// Sets the metric of the time since the log was read for a configuration.
    pub fn record_config_age(&self) {
        gauge!("mustardgate_config_age_seconds").set(self.config_age().as_secs_f64());
    }

    fn config_age(&self) -> Duration {
        let read_at = self.records.read_at(LogTopic::Configuration);
        let now = self.leader.lease_time();
        read_at.map_or(Duration::ZERO, |read_at| now.saturating_duration_since(read_at))
    }
}
