//! Limits of key tables and claim batchers.

use std::time::Duration;

/// Limits of a key table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySettings {
    /// Time within which a caller may retry with the same key; at most the retention of the log, less its clock error.
    pub window: Duration,
    /// Longest time that a delivery waits for the outcome of another delivery of the same key.
    pub outcome_wait: Duration,
    /// Time after which a refused caller is asked to retry.
    pub retry_after: Duration,
    /// Maximum number of keys in one table.
    pub max_entries: usize,
    /// Maximum number of pending keyed requests in one table.
    pub max_pending: usize,
    /// Maximum size of one stored answer in bytes.
    pub max_answer_bytes: usize,
    /// Maximum size of all stored answers in one table in bytes.
    pub max_total_answer_bytes: usize,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(3600),
            outcome_wait: Duration::from_secs(2),
            retry_after: Duration::from_secs(1),
            max_entries: 10_000,
            max_pending: 1_000,
            max_answer_bytes: 2_048,
            max_total_answer_bytes: 1 << 20,
        }
    }
}

/// Limits of the claim batcher of one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatcherSettings {
    /// Shortest time between two appends.
    pub append_interval: Duration,
    /// Maximum number of claims and outcomes in one append.
    pub max_batch_entries: usize,
    /// Maximum number of claims queued for an append.
    pub max_queued_claims: usize,
    /// Maximum number of outcomes queued for an append; the oldest is dropped beyond it.
    pub max_queued_outcomes: usize,
}

impl Default for BatcherSettings {
    fn default() -> Self {
        Self {
            append_interval: Duration::from_millis(100),
            max_batch_entries: 256,
            max_queued_claims: 1_024,
            max_queued_outcomes: 4_096,
        }
    }
}
