//! Follows the records of the platform's log that are not configuration: leases, orders and keys.

mod tail;

use std::{fmt::Debug, time::Instant};

use mustardgate_core::{ids::Offset, ports::LogEntry};

pub use self::tail::{RecordTail, follow_records};

/// Takes records in log order; each observer sees every record from the start of the replay on.
pub trait RecordObserver: Debug + Send + Sync {
    /// Takes the offset that the replay begins at, which is the oldest record kept.
    fn on_start(&self, from: Offset, now: Instant);

    /// Takes the next records.
    fn on_entries(&self, entries: &[LogEntry], now: Instant);

    /// Takes the oldest offset kept and the offset after the newest record, after each read.
    fn on_bounds(&self, earliest: Offset, end: Offset, now: Instant);

    /// Takes a gap: records before `earliest` were trimmed before they were read.
    fn on_gap(&self, earliest: Offset, now: Instant);

    /// Takes whether the log is away.
    fn on_availability(&self, is_away: bool, now: Instant);
}
