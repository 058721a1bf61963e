//! Limit on loads from the weight store within a sliding window.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Maximum number of loads from the weight store that may begin within any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBound {
    /// Length of the window.
    pub window: Duration,
    /// Number of loads that may begin within the window.
    pub max_loads: u32,
}

/// Time for which an order that got no answer may still be executed.
const UNCONFIRMED_ORDER_TIME: Duration = Duration::from_secs(13);
/// Maximum of granted loads accepted from an account, so that a malformed one does not exhaust memory.
const MAX_GRANTED: u32 = 1_000;
/// Part of the bound that a leader may use between two accounts.
const GRANT_SHARE: f64 = 0.5;

/// Account of the loads in the window, from a leader to its successor.
///
/// The leader writes it to the log with each renewal of the lease, so that a successor need not wait for a whole window
/// before its first load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAccount {
    /// Time in milliseconds for which each load still counts.
    pub counted_ms: Vec<u64>,
    /// Loads that the leader may begin before its next account.
    pub granted: u32,
}

/// Counts the loads that began, or may still begin, within the window.
///
/// A token bucket would spread the loads after a shift in demand over seconds; the window admits a whole burst at once.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadWindow {
    /// Time until which each load counts.
    counted_until: Vec<Instant>,
    blocked_until: Option<Instant>,
    /// Loads left of the grant in the newest account known to be in the log; `None` if only the window limits loads.
    granted: Option<u32>,
    /// Loads left of the grant in an account that may be in the log.
    proposed: Option<u32>,
}

impl LoadWindow {
    /// Blocks loads for a whole window, because a former leader may just have used it up.
    pub(super) fn block(&mut self, now: Instant, bound: LoadBound) {
        self.blocked_until = Some(now + bound.window);
    }

    /// Continues from the former leader's last account, which was read `age` ago. The loads that it was granted may
    /// have begun at any time until now, so each counts for a whole window from now.
    pub(super) fn resume(&mut self, now: Instant, age: Duration, account: &LoadAccount, bound: LoadBound) {
        self.blocked_until = None;
        (self.granted, self.proposed) = (None, None);
        let reported = account.counted_ms.iter().map(|left| Duration::from_millis(*left));
        self.counted_until = reported.map(|left| now + left.saturating_sub(age)).collect();
        let granted = account.granted.min(MAX_GRANTED) as usize;
        self.counted_until
            .extend(std::iter::repeat_n(now + bound.window, granted));
    }

    /// Returns the account to write now. Until it is confirmed, loads stay within its grant and the previous one.
    pub(super) fn account(&mut self, now: Instant, bound: LoadBound) -> LoadAccount {
        let max_granted = (f64::from(bound.max_loads) * GRANT_SHARE).ceil() as u32;
        let remaining_loads = self.remaining_loads(now, bound).min(max_granted);
        let granted = self
            .proposed
            .map_or(remaining_loads, |proposed| proposed.min(remaining_loads));
        self.proposed = Some(granted);
        let left = self
            .counted_until
            .iter()
            .map(|until| until.saturating_duration_since(now));
        LoadAccount {
            counted_ms: left.map(|left| left.as_millis() as u64 + 1).collect(),
            granted,
        }
    }

    /// Records that the last account was written to the log.
    pub(super) fn confirm_account(&mut self) {
        self.granted = self.proposed.take().or(self.granted);
    }

    /// Returns how many loads may begin now.
    pub(super) fn allowance(&mut self, now: Instant, bound: LoadBound) -> u32 {
        let grants = [self.granted, self.proposed].into_iter().flatten();
        grants.fold(self.remaining_loads(now, bound), u32::min)
    }

    /// Returns how many loads fit into the window now.
    fn remaining_loads(&mut self, now: Instant, bound: LoadBound) -> u32 {
        self.counted_until.retain(|until| now < *until);
        if self.blocked_until.is_some_and(|until| now < until) {
            return 0;
        }
        bound.max_loads.saturating_sub(self.counted_until.len() as u32)
    }

    /// Counts a load that begins now.
    pub(super) fn record(&mut self, now: Instant, bound: LoadBound) {
        self.counted_until.push(now + bound.window);
        for grant in [&mut self.granted, &mut self.proposed].into_iter().flatten() {
            *grant = grant.saturating_sub(1);
        }
    }

    /// Counts a load whose order got no answer, from the latest time at which it may still begin.
    pub(super) fn record_unconfirmed(&mut self, now: Instant, bound: LoadBound) {
        self.counted_until.push(now + UNCONFIRMED_ORDER_TIME + bound.window);
    }
}
