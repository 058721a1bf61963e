//! Runners that are away for a while and expected back.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::BackendId;

/// Remembers since when declared runners are away, because a runner that stays away too long gives its places up.
///
/// Two nodes may count the time differently; their base placements then differ for that while, which costs moves and
/// endangers nothing.
#[derive(Clone, Debug)]
pub struct AbsenceTracker {
    expected_for: Duration,
    since: BTreeMap<BackendId, Instant>,
}

impl AbsenceTracker {
    /// Creates a tracker that expects a runner back for `expected_for`.
    pub fn new(expected_for: Duration) -> Self {
        Self {
            expected_for,
            since: BTreeMap::new(),
        }
    }

    /// Takes the declared runners that are away now; those that are back or no longer declared are forgotten.
    pub fn observe(&mut self, now: Instant, away: impl IntoIterator<Item = BackendId>) {
        self.since = away
            .into_iter()
            .map(|backend| {
                let since = self.since.get(&backend).copied().unwrap_or(now);
                (backend, since)
            })
            .collect();
    }

    /// Returns whether a runner is away and still expected back.
    pub fn is_expected(&self, now: Instant, backend: &BackendId) -> bool {
        self.since
            .get(backend)
            .is_some_and(|since| now.saturating_duration_since(*since) < self.expected_for)
    }
}
