//! The time from the acknowledgement of a version until it is in force, with all waits at their longest.
//!
//! See `docs/incidents/2026-12-08-config-narrow-links.md`.

use std::time::Duration;

use mustardgate_core::relay::FeedTimes;
use mustardgate_relay::peers::MAX_MESSAGE_TIME;

/// Longest time until the log's answer to a read that does not wait begins, which the adapter to the platform sets.
const LOG_ANSWER_TIME: Duration = Duration::from_millis(700);
const BOUNDS_MS: [u64; 3] = [2_000, 3_000, 4_000];

/// Time at which the last call of a chain ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastAnswer {
    /// It is answered at once.
    Quick,
    /// It takes as long as it may.
    Slow,
}

/// Returns the longest time from a state that a node knew through the feeder until it knows a newer one. The feeder stops
/// answering; with a second lost call, so does the log.
fn longest_chain(bound: Duration, lost_calls: u32, last: LastAnswer) -> Duration {
    let max_age_ms = FeedTimes::max_age(bound).as_millis() as u64;
    let known_ages = (0..=max_age_ms).map(Duration::from_millis);
    // Without time for the feeder the log is read at once.
    let feeder_times = known_ages.map(|age| {
        let times = FeedTimes::within(bound, age);
        age + times.map_or(Duration::ZERO, |times| times.timeout)
    });
    let before_log = feeder_times.max().expect("there are ages");
    let calls = [LOG_ANSWER_TIME, MAX_MESSAGE_TIME];
    let waited_out: Duration = calls.iter().take(lost_calls as usize - 1).sum();
    let last_call = match last {
        LastAnswer::Quick => Duration::ZERO,
        LastAnswer::Slow => calls[lost_calls as usize - 1],
    };
    before_log + waited_out + last_call
}

fn chains_ms(lost_calls: u32, last: LastAnswer) -> [u128; 3] {
    BOUNDS_MS.map(|bound_ms| longest_chain(Duration::from_millis(bound_ms), lost_calls, last).as_millis())
}

#[test]
fn a_version_is_in_force_in_time_after_one_lost_call_where_the_bound_leaves_time_for_the_log() {
    assert_eq!(chains_ms(1, LastAnswer::Quick), [1_500, 2_250, 3_000]);
    // The shortest bound leaves 500 ms for an answer of the log that may take 700 ms.
    assert_eq!(chains_ms(1, LastAnswer::Slow), [2_200, 2_950, 3_700]);
}

#[test]
fn after_two_lost_calls_a_version_is_in_force_in_time_only_if_the_next_answer_is_quick() {
    // Not in time with the shortest bound.
    assert_eq!(chains_ms(2, LastAnswer::Quick), [2_200, 2_950, 3_700]);
    // Not in time with any of the bounds.
    assert_eq!(chains_ms(2, LastAnswer::Slow), [3_000, 3_750, 4_500]);
}

// Guards against a page whose time on the way counts in no age, so that the feeder is asked when the log should be.
#[test]
fn a_page_that_was_under_way_for_long_leaves_as_much_less_time_for_the_feeder() {
    for bound in BOUNDS_MS.map(Duration::from_millis) {
        let times = FeedTimes::within(bound, Duration::ZERO).expect("there is time");
        let told_age = FeedTimes::max_age(bound);
        let age = times.age_on_receipt(told_age, times.timeout, Some(Duration::ZERO));
        assert_eq!(FeedTimes::within(bound, age), None, "{age:?}");
    }
}
