//! What makes a node believe that it is cut off from all runners, and what does not.

use std::time::{Duration, Instant};

use mustardgate_core::relay::LinkMonitor;

const SILENCE: Duration = Duration::from_millis(400);

/// Returns a monitor whose link was cut at `now`.
fn cut_monitor(now: Instant) -> LinkMonitor {
    let mut monitor = LinkMonitor::default();
    monitor.record_failure(now, &"one".into());
    monitor.record_failure(now, &"two".into());
    assert!(monitor.record_check(now, 3, 0));
    monitor
}

#[test]
fn one_failed_runner_is_no_reason_to_check_and_two_are() {
    let now = Instant::now();
    let mut monitor = LinkMonitor::default();
    for _ in 0..5 {
        monitor.record_failure(now, &"one".into());
    }
    assert!(!monitor.needs_check(now));
    monitor.record_failure(now, &"two".into());
    assert!(monitor.needs_check(now));
    // An answer over an old connection says nothing about new ones.
    monitor.record_contact(now, false);
    assert!(monitor.needs_check(now));
    monitor.record_contact(now, true);
    assert!(!monitor.needs_check(now));
}

#[test]
fn failures_that_lie_far_apart_are_no_reason_to_check() {
    let start = Instant::now();
    let mut monitor = LinkMonitor::default();
    monitor.record_failure(start, &"one".into());
    let later = start + Duration::from_secs(3);
    monitor.record_failure(later, &"two".into());
    assert!(!monitor.needs_check(later));
}

#[test]
fn silence_is_a_reason_to_check_only_while_answers_are_awaited() {
    let start = Instant::now();
    let mut monitor = LinkMonitor::default();
    monitor.record_contact(start, true);
    assert!(!monitor.needs_check(start + SILENCE * 10));
    let sent_at = start + SILENCE * 10;
    monitor.begin_wait(sent_at);
    assert!(!monitor.needs_check(sent_at + SILENCE / 2));
    assert!(monitor.needs_check(sent_at + SILENCE));
    // Another runner still sends events.
    monitor.record_contact(sent_at + SILENCE / 2, false);
    assert!(!monitor.needs_check(sent_at + SILENCE));
    monitor.end_wait();
    assert!(!monitor.needs_check(sent_at + SILENCE * 10));
}

#[test]
fn a_check_that_finds_a_runner_is_not_repeated_at_once() {
    let now = Instant::now();
    let mut monitor = LinkMonitor::default();
    monitor.begin_wait(now);
    let silent_at = now + SILENCE;
    assert!(monitor.needs_check(silent_at));
    assert!(!monitor.record_check(silent_at, 3, 1));
    assert!(!monitor.is_cut());
    assert!(!monitor.needs_check(silent_at + SILENCE * 2));
    assert!(monitor.needs_check(silent_at + Duration::from_secs(4)));
    // Without a runner to ask, nothing is known.
    assert!(!monitor.record_check(silent_at + Duration::from_secs(4), 0, 0));
}

#[test]
fn a_cut_link_is_restored_by_two_answers_in_a_row_and_used_again_little_by_little() {
    let now = Instant::now();
    let mut monitor = cut_monitor(now);
    assert!(monitor.is_cut() && monitor.uses_neighbours(now, 0.0));
    assert!(!monitor.needs_check(now + SILENCE));
    assert!(!monitor.record_probe(now, true));
    assert!(!monitor.record_probe(now, false));
    assert!(!monitor.record_probe(now, true));
    assert!(monitor.record_probe(now, true));
    assert!(!monitor.is_cut());
    let shares: Vec<usize> = [0, 250, 750, 1_000]
        .map(|elapsed| {
            let at = now + Duration::from_millis(elapsed);
            let draws = (0..100).map(|draw| f64::from(draw) / 100.0);
            draws.filter(|draw| monitor.uses_neighbours(at, *draw)).count()
        })
        .to_vec();
    assert_eq!(shares, [100, 75, 25, 0]);
}
