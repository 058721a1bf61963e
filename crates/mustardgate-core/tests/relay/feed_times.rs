//! Tests of the time that a read from another node may take.

use std::time::Duration;

use mustardgate_core::relay::FeedTimes;

const BOUND: Duration = Duration::from_secs(4);
/// Time that is left for a read of the log.
const LOG_READ_TIME: Duration = Duration::from_secs(1);

// Guards against waits that add up to more than the bound, each of them within its own share.
#[test]
fn a_read_of_the_log_fits_within_the_bound_after_any_read_from_another_node() {
    for known_ms in 0..4_000 {
        let known_age = Duration::from_millis(known_ms);
        let Some(times) = FeedTimes::within(BOUND, known_age) else {
            continue;
        };
        assert!(times.wait <= times.timeout, "{times:?}");
        assert!(
            known_age + times.timeout + LOG_READ_TIME <= BOUND,
            "{known_age:?} {times:?}"
        );
    }
}

#[test]
fn the_log_is_read_at_once_when_no_time_is_left_for_another_node() {
    assert_eq!(FeedTimes::within(BOUND, BOUND.saturating_sub(LOG_READ_TIME)), None);
}

// Guards against a node that is cut off from the log and asks nobody else.
#[test]
fn a_node_that_the_log_has_not_answered_asks_other_nodes() {
    assert_eq!(
        FeedTimes::within(BOUND, BOUND),
        FeedTimes::within(BOUND, Duration::ZERO)
    );
}

#[test]
fn an_answer_of_the_greatest_accepted_age_leaves_time_for_another_read() {
    let times = FeedTimes::within(BOUND, FeedTimes::max_age(BOUND)).expect("there is time");
    assert!(!times.wait.is_zero(), "{times:?}");
}

// Guards against a page that counts as current although it was under way for most of the bound.
#[test]
fn the_time_of_a_page_on_its_way_counts_as_age_and_the_wait_for_records_does_not() {
    let times = FeedTimes::within(BOUND, Duration::ZERO).expect("there is time");
    let (told_age, wait, on_way) = (Duration::from_millis(300), times.wait / 2, Duration::from_millis(700));
    assert_eq!(
        times.age_on_receipt(told_age, wait + on_way, Some(wait)),
        told_age + on_way
    );
    assert_eq!(
        times.age_on_receipt(told_age, on_way, Some(Duration::ZERO)),
        told_age + on_way
    );
    // An earlier build waited for no longer than it was asked to.
    assert_eq!(
        times.age_on_receipt(told_age, times.wait + on_way, None),
        told_age + on_way
    );
}

#[test]
fn that_there_are_no_records_has_to_be_recent_on_receipt() {
    let max_age = FeedTimes::max_age(BOUND);
    let late = max_age + Duration::from_millis(1);
    assert!(FeedTimes::accepts(BOUND, Duration::ZERO, max_age, false));
    assert!(!FeedTimes::accepts(BOUND, Duration::ZERO, late, false));
    assert!(FeedTimes::accepts(BOUND, Duration::ZERO, late, true));
    assert!(!FeedTimes::accepts(BOUND, late, late, true));
}
