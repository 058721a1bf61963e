//! Load accounts that a leader continues.

use std::time::{Duration, Instant};

use mustardgate_core::{ids::ServiceId, placement::share::LoadAccount, ports::LogEra};

use super::lease::LoadAccounts;

/// Load accounts from one lease record.
#[derive(Clone, Debug)]
pub(super) struct LoadSnapshot {
    /// When the record was read, on the lease's clock.
    pub(super) read_at: Instant,
    /// Era of the log as the record's author knew it.
    pub(super) era: LogEra,
    pub(super) by_service: LoadAccounts,
}

impl LoadSnapshot {
    pub(super) fn account(&self, lease_now: Instant, service: &ServiceId) -> Option<(Duration, &LoadAccount)> {
        let age = lease_now.saturating_duration_since(self.read_at);
        self.by_service.get(service).map(|account| (age, account))
    }
}
