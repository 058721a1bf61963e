//! What callers' API keys are judged by, and log lines about them.

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, Ordering},
};

use mustardgate::events;
use mustardgate_core::relay::{ConfigAge, KeyVerdict};
use slog::o;

use super::{ActiveRoutes, RelayContext};
use crate::request_log::list_names;

/// Whether keys are refused because of the age of the configuration, so that the change is logged once.
#[derive(Debug, Default)]
pub struct KeyWatch {
    is_refusing: AtomicBool,
}

impl RelayContext {
    /// Returns the age of the configuration in force, on the clock that counts suspensions.
    pub fn key_age(&self) -> ConfigAge {
        let reads = self.routes.reads();
        let now = self.leader.lease_time();
        let since = |at: Option<std::time::Instant>| at.map(|at| now.saturating_duration_since(at));
        ConfigAge {
            since_read: since(reads.read_at),
            since_confirmed: since(reads.confirmed_at),
        }
    }

    /// Logs the first refusal of a key because of the configuration's age, and the first verdict after it that does not
    /// depend on it.
    pub fn record_key_verdict(&self, verdict: &KeyVerdict, age: ConfigAge) {
        let is_refusing = match verdict {
            KeyVerdict::Unconfirmed(_) | KeyVerdict::Outdated => true,
            KeyVerdict::Unauthorized(_) => false,
            // Known keys are accepted at any age.
            KeyVerdict::Accepted(_) => return,
        };
        if self.keys.is_refusing.swap(is_refusing, Ordering::Relaxed) == is_refusing {
            return;
        }
        let millis = |age: Option<std::time::Duration>| age.map_or(-1, |age| age.as_millis() as i64);
        let values = o!(
            "confirmed_ms" => millis(age.since_confirmed),
            "read_ms" => millis(age.since_read),
        );
        let event = if is_refusing {
            events::RELAY_KEYS_UNCONFIRMED
        } else {
            events::RELAY_KEYS_CONFIRMED
        };
        event.write(self.log.logger(), values);
    }

    /// Logs the tenants that declare the same key, by their names.
    pub(crate) fn log_shared_keys(&self, active: &ActiveRoutes) {
        let shared = active.tenants.as_ref().map_or(&[][..], |table| table.shared_keys());
        let pairs: BTreeSet<String> = shared
            .iter()
            .map(|shared| format!("{}/{}", shared.holder, shared.other))
            .collect();
        if pairs.is_empty() {
            return;
        }
        let values = o!("tenants" => list_names(pairs.iter()), "version" => active.config.version);
        events::RELAY_KEY_SHARED.write(self.log.logger(), values);
    }
}
