//! Stand-in for the platform: an append-only log with retention and faults.

mod log;

pub use self::log::{LogFaults, MemoryLog};
