//! Tests of the decision whether enough of a planned stop is left for a request.

use std::time::{Duration, Instant};

use mustardgate_core::drain::{DrainTiming, DrainWindow};

const SECOND: Duration = Duration::from_secs(1);

fn window(start: Instant) -> DrainWindow {
    let timing = DrainTiming {
        grace: SECOND * 2,
        limit: SECOND * 8,
    };
    DrainWindow::new(start, timing)
}

#[test]
fn a_request_that_cannot_be_answered_before_the_end_is_refused() {
    let start = Instant::now();
    let window = window(start);
    assert_eq!(window.ends_at(), start + SECOND * 10);
    for (at_s, answer_s, is_admitted) in [
        (0, 9, true),
        (0, 10, false),
        (5, 4, true),
        (5, 5, false),
        (9, 0, true),
        (10, 0, false),
    ] {
        let now = start + SECOND * at_s;
        assert_eq!(
            window.admits(now, SECOND * answer_s),
            is_admitted,
            "{answer_s} s at {at_s} s"
        );
    }
}

#[test]
fn a_request_is_refused_from_the_stated_time_on() {
    let start = Instant::now();
    let window = window(start);
    let from = window.refused_from(SECOND * 3);
    assert!(!window.admits(from, SECOND * 3));
    let longer = window.refused_from(SECOND * 3 + Duration::from_nanos(1));
    assert!(longer < from && window.admits(longer, SECOND * 3));
    assert!(
        !window.admits(start, Duration::MAX),
        "an endless answer fits into no stop"
    );
}

#[test]
fn a_stop_that_is_ended_early_admits_nothing_and_is_not_prolonged() {
    let start = Instant::now();
    let mut window = window(start);
    window.cut_short(start + SECOND * 4);
    assert!(!window.admits(start + SECOND * 4, Duration::ZERO));
    window.cut_short(start + SECOND * 6);
    assert_eq!(window.ends_at(), start + SECOND * 4);
}

#[test]
fn a_refused_caller_is_told_to_come_back_when_the_listener_has_closed() {
    let start = Instant::now();
    let window = window(start);
    assert_eq!(window.retry_after(start), SECOND * 2);
    assert_eq!(window.retry_after(start + SECOND * 9), SECOND);
}
