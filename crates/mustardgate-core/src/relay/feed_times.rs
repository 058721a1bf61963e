//! Time that a read from another node may take, so that a read of the log fits within the bound after it.

use std::time::Duration;

/// Fractions of the time within which a change must be taken up: how long a read from another node waits for records, the
/// extra time until it times out, the greatest accepted age of its result, and the time left for a read of the log.
const WAIT_SHARE: f64 = 0.25;
const SLACK_SHARE: f64 = 0.2;
const AGE_SHARE: f64 = 0.45;
const LOG_READ_SHARE: f64 = 0.25;
/// Fraction of it from which on a page of the log counts as slow.
const SLOW_PAGE_SHARE: f64 = 0.1;

/// Times of one read from another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedTimes {
    /// Time for which it waits for records.
    pub wait: Duration,
    /// Time after which it is given up.
    pub timeout: Duration,
}

impl FeedTimes {
    /// Returns the times of a read by a node that knows the state of the log `known_age` ago, or `None` if the log has to be
    /// read at once to stay within the bound. Beyond the bound the log has not answered the node, and others may know more.
    pub fn within(bound: Duration, known_age: Duration) -> Option<Self> {
        let slack = bound.mul_f64(SLACK_SHARE);
        let longest = bound.mul_f64(WAIT_SHARE) + slack;
        if known_age >= bound {
            return Some(Self {
                wait: bound.mul_f64(WAIT_SHARE),
                timeout: longest,
            });
        }
        let time_left = bound.saturating_sub(known_age + bound.mul_f64(LOG_READ_SHARE));
        let timeout = longest.min(time_left);
        (timeout >= slack).then(|| Self {
            wait: timeout.saturating_sub(slack),
            timeout,
        })
    }

    /// Returns the age of what another node passed on in a call that took `elapsed`, at its end. The node told the age when it
    /// sent the answer, having held the call for `waited`; the rest of the call counts as time on the way of the answer.
    ///
    /// A node of an earlier build does not tell for how long it waited, which was not longer than it was asked to.
    pub fn age_on_receipt(&self, told_age: Duration, elapsed: Duration, waited: Option<Duration>) -> Duration {
        told_age + elapsed.saturating_sub(waited.unwrap_or(self.wait))
    }

    /// Returns whether an answer is taken over that was `told_age` old when it was sent and is `age` old now. Records that
    /// have arrived late are newer than what the reader knows; that there are none has to be recent.
    pub fn accepts(bound: Duration, told_age: Duration, age: Duration, has_records: bool) -> bool {
        let checked_age = if has_records { told_age } else { age };
        checked_age <= Self::max_age(bound)
    }

    /// Returns the time from which on a page of the log was under way for long.
    pub fn slow_page(bound: Duration) -> Duration {
        bound.mul_f64(SLOW_PAGE_SHARE)
    }

    /// Returns the greatest age of what another node passes on that is accepted.
    pub fn max_age(bound: Duration) -> Duration {
        bound.mul_f64(AGE_SHARE)
    }
}
