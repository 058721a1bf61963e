//! How nodes talk to each other in the scenarios of the relay, and the time after which rules bind them.

use std::{ops::Range, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Time of contact after which the rules bind a node.
pub(super) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time between two reports of a node, in milliseconds.
pub(super) const REPORT_INTERVAL_MS: Range<u64> = 560..840;

/// Longest time of most messages.
const USUAL_MESSAGE_TIME: Duration = Duration::from_millis(20);
/// Share of messages that take longer.
const SLOW_SHARE: f64 = 0.02;

/// Draws the time for which a message is under way, at most `longest`.
pub(super) fn message_time(rng: &mut ChaCha8Rng, longest: Duration) -> Duration {
    let longest = if rng.random_bool(SLOW_SHARE) {
        longest
    } else {
        USUAL_MESSAGE_TIME
    };
    longest.mul_f64(rng.random())
}
