//! A clock that goes on while the machine is suspended.

use std::{
    fmt::Debug,
    time::{Duration, Instant},
};

use mustardgate_core::clock;
use nix::time::{ClockId, clock_gettime};

/// Clock by which a lease is counted.
pub trait LeaseClock: Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// Adds the time of suspensions to the runtime's clock, which stands still meanwhile: a holder that was suspended must
/// not believe that its lease still runs.
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

/// Returns the time since boot, suspensions included; zero where the system does not tell.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
