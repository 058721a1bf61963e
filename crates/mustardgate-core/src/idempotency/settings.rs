//! Limits of key tables and of the batches they append.

use std::time::Duration;

/// Limits of a key table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySettings {
    /// Time within which a caller may repeat a key; at most the retention of the log, less its clock error.
    pub window: Duration,
    /// Longest time that a delivery waits for the outcome of another one.
    pub outcome_wait: Duration,
    /// Time after which a refused caller is asked to come back.
    pub retry_after: Duration,
    /// Keys that one table holds at most.
    pub max_entries: usize,
    /// Keyed requests that one table has under way at most.
    pub max_pending: usize,
    /// Bytes of one kept answer at most.
    pub max_answer_bytes: usize,
    /// Bytes of all kept answers of one table at most.
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

/// Limits of the batches that one failure domain appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatcherSettings {
    /// Shortest time between two appends.
    pub append_interval: Duration,
    /// Claims and outcomes in one append at most.
    pub max_batch_entries: usize,
    /// Claims that wait for an append at most.
    pub max_queued_claims: usize,
    /// Outcomes that wait for an append at most.
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
