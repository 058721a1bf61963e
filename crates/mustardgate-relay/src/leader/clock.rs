//! A clock that keeps running while the machine is suspended.

use std::{
    fmt::Debug,
    time::{Duration, Instant},
};

use mustardgate_core::clock;
use nix::time::{ClockId, clock_gettime};

/// Clock that measures the term of a lease.
pub trait LeaseClock: Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// Adds suspended time to the runtime's clock, which stops during suspension: a holder that was suspended must not
/// assume that its lease is still valid.
#[derive(Debug)]
pub struct BootClock {
    started_at: Instant,
    boot_at_start: Duration,
}

impl BootClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            started_at: clock::now(),
            boot_at_start: boot_time(),
        }
    }
}

impl LeaseClock for BootClock {
    fn now(&self) -> Instant {
        let by_boot = self.started_at + boot_time().saturating_sub(self.boot_at_start);
        by_boot.max(clock::now())
    }
}

/// Returns the time since boot including suspended time, or zero if the system does not provide it.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
