//! Absent runners that are expected back.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::BackendId;

/// Records when each absent runner was first missed: a runner that is absent for too long loses its base assignments.
///
/// Nodes may notice an absence at different times. Their base placements then differ for a while, which costs extra
/// moves but is safe.
#[derive(Clone, Debug)]
pub struct AbsenceTracker {
    grace_period: Duration,
    absent_since: BTreeMap<BackendId, Instant>,
}

impl AbsenceTracker {
    /// Creates a tracker that expects an absent runner back within `grace_period`.
    pub fn new(grace_period: Duration) -> Self {
        Self {
            grace_period,
            absent_since: BTreeMap::new(),
        }
    }

    /// Replaces the set of absent declared runners; runners that are not in it are forgotten.
    pub fn observe(&mut self, now: Instant, absent: impl IntoIterator<Item = BackendId>) {
        self.absent_since = absent
            .into_iter()
            .map(|backend| {
                let since = self.absent_since.get(&backend).copied().unwrap_or(now);
                (backend, since)
            })
            .collect();
    }

    /// Returns whether a runner is absent and still within the grace period.
    pub fn is_expected_back(&self, now: Instant, backend: &BackendId) -> bool {
        self.absent_since
            .get(backend)
            .is_some_and(|since| now.saturating_duration_since(*since) < self.grace_period)
    }
}
