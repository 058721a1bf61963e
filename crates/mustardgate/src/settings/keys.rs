//! Settings of idempotency keys.

use std::time::Duration;

use mustardgate_core::idempotency::KeySettings;
use serde::Deserialize;

use super::RangeCheck;

/// Number of shards of the key table; the limits are divided among them.
pub const KEY_SHARDS: usize = 8;

/// Idempotency keys.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeyWindowSettings {
    /// Time within which a caller may retry with the same key, in seconds; at most the retention of the platform's log.
    pub window_s: u64,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum size of one answer that is stored for retries, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum total size of the stored answers, in bytes.
    pub max_total_answer_bytes: usize,
    /// Longest time that a retry waits for the outcome of the first request, in milliseconds.
    pub outcome_wait_ms: u64,
}

impl Default for KeyWindowSettings {
    fn default() -> Self {
        Self {
            window_s: 3_600,
            max_keys: 80_000,
            max_answer_bytes: 2_048,
            max_total_answer_bytes: 8 << 20,
            outcome_wait_ms: 5_000,
        }
    }
}

impl KeyWindowSettings {
    /// Returns the limits of one shard of the key table.
    pub fn shard_settings(&self) -> KeySettings {
        KeySettings {
            window: Duration::from_secs(self.window_s),
            outcome_wait: Duration::from_millis(self.outcome_wait_ms),
            max_entries: self.max_keys.div_ceil(KEY_SHARDS),
            max_answer_bytes: self.max_answer_bytes,
            max_total_answer_bytes: self.max_total_answer_bytes.div_ceil(KEY_SHARDS),
            ..KeySettings::default()
        }
    }

    pub(super) fn check(&self, check: &mut RangeCheck, retention_s: u64) {
        check.within("keys", "window_s", self.window_s, 1..=retention_s);
        check.within("keys", "max_keys", self.max_keys, 1..=100_000_000);
        check.within("keys", "max_answer_bytes", self.max_answer_bytes, 0..=1 << 20);
        check.within(
            "keys",
            "max_total_answer_bytes",
            self.max_total_answer_bytes,
            0..=1 << 30,
        );
        check.within("keys", "outcome_wait_ms", self.outcome_wait_ms, 100..=120_000);
    }
}
