//! Follows the platform's log for everything but the configuration: leases, orders and keys.

mod tail;

use std::{fmt::Debug, time::Instant};

use mustardgate_core::{ids::Offset, ports::LogEntry};

pub use self::tail::{RecordTail, follow_records};

/// Receives the records in log order; each observer sees every record from the start of the replay on.
pub trait RecordObserver: Debug + Send + Sync {
    /// Receives the offset at which the replay begins, that of the oldest record kept.
    fn on_start(&self, from: Offset, now: Instant);

    /// Receives the next records.
    fn on_entries(&self, entries: &[LogEntry], now: Instant);

    /// Receives the oldest offset kept and the offset after the newest record, after each read.
    fn on_bounds(&self, earliest: Offset, end: Offset, now: Instant);

    /// Receives a gap: records before `earliest` were trimmed before they were read.
    fn on_gap(&self, earliest: Offset, now: Instant);

    /// Receives whether the log is unavailable, each time this changes.
    fn on_availability(&self, is_unavailable: bool, now: Instant);
}
