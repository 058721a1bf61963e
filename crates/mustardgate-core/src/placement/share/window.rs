//! Loads from the weight store within a sliding window.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Bound on the loads that begin at the weight store within any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBound {
    /// Length of the window.
    pub window: Duration,
    /// Loads that may begin within it.
    pub most: u32,
}

/// Time for which an order without an answer may still be carried out.
const DOUBT_TIME: Duration = Duration::from_secs(13);
/// Most loads of an account that are believed, so that a malformed one takes no memory.
const MAX_GRANTED: u32 = 1_000;
/// Part of the bound that a leader may use between two accounts of its loads.
const GRANT_SHARE: f64 = 0.5;

/// What a leader tells its successor about the loads that the window still counts.
///
/// It goes into the log with each renewal of the lease, so that a successor need not keep the window closed for its whole
/// length.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAccount {
    /// For how many more milliseconds each load counts.
    pub counted_ms: Vec<u64>,
    /// Loads that the leader may begin before its next account.
    pub granted: u32,
}

/// Loads that began, or may still begin, within the window.
///
/// A bucket that refills evenly would spread a shift of demand over seconds; the window lets all of a burst begin at once.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadWindow {
    /// Until when each load counts.
    counted_until: Vec<Instant>,
    closed_until: Option<Instant>,
    /// Loads left of the newest account that is in the log; without one only the window bounds them.
    granted: Option<u32>,
    /// Loads left of an account that may be in the log.
    proposed: Option<u32>,
}

impl LoadWindow {
    /// Closes the window, since another leader may have used it up a moment ago.
    pub(super) fn close(&mut self, now: Instant, bound: LoadBound) {
        self.closed_until = Some(now + bound.window);
    }

    /// Goes on from what the former leader told when its last account was read, `age` ago. What it was granted may have
    /// begun at any time until now.
    pub(super) fn resume(&mut self, now: Instant, age: Duration, account: &LoadAccount, bound: LoadBound) {
        self.closed_until = None;
        (self.granted, self.proposed) = (None, None);
        let told = account.counted_ms.iter().map(|left| Duration::from_millis(*left));
        self.counted_until = told.map(|left| now + left.saturating_sub(age)).collect();
        let granted = account.granted.min(MAX_GRANTED) as usize;
        self.counted_until
            .extend(std::iter::repeat_n(now + bound.window, granted));
    }

    /// Returns the account to write now. Until it is confirmed, loads stay within this one and the one before it.
    pub(super) fn account(&mut self, now: Instant, bound: LoadBound) -> LoadAccount {
        let most = (f64::from(bound.most) * GRANT_SHARE).ceil() as u32;
        let open = self.open(now, bound).min(most);
        let granted = self.proposed.map_or(open, |proposed| proposed.min(open));
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

    /// Notes that the last account is in the log.
    pub(super) fn confirm_account(&mut self) {
        self.granted = self.proposed.take().or(self.granted);
    }

    /// Returns how many loads may begin now.
    pub(super) fn allowance(&mut self, now: Instant, bound: LoadBound) -> u32 {
        let accounts = [self.granted, self.proposed].into_iter().flatten();
        accounts.fold(self.open(now, bound), u32::min)
    }

    /// Returns how many loads fit into the window now.
    fn open(&mut self, now: Instant, bound: LoadBound) -> u32 {
        self.counted_until.retain(|until| now < *until);
        if self.closed_until.is_some_and(|until| now < until) {
            return 0;
        }
        bound.most.saturating_sub(self.counted_until.len() as u32)
    }

    /// Counts a load that begins now.
    pub(super) fn record(&mut self, now: Instant, bound: LoadBound) {
        self.counted_until.push(now + bound.window);
        for account in [&mut self.granted, &mut self.proposed].into_iter().flatten() {
            *account = account.saturating_sub(1);
        }
    }

    /// Counts a load whose order got no answer for as long as it may still begin.
    pub(super) fn record_doubtful(&mut self, now: Instant, bound: LoadBound) {
        self.counted_until.push(now + DOUBT_TIME + bound.window);
    }
}
