//! How long callers may come back to streams while configurations change.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use mustardgate_core::{ids::ServiceId, relay::StreamLives};

const APPLY_TIME: Duration = Duration::from_secs(2);

fn service() -> ServiceId {
    "assist".into()
}

fn lives(seconds: u64) -> BTreeMap<ServiceId, Duration> {
    BTreeMap::from([(service(), Duration::from_secs(seconds))])
}

// Guards against ORDER breaks by a shorter timeout that binds streams of before.
#[test]
fn a_longer_life_counts_until_its_last_stream_is_over() {
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let before = StreamLives::new(APPLY_TIME).replaced(start, lives(40));
    let shorter = before.replaced(at(100.0), lives(2));
    let dropped = shorter.replaced(at(110.0), BTreeMap::new());
    for changed in [&shorter, &dropped] {
        assert_eq!(changed.longest(at(110.0), &service()), Duration::from_secs(40));
        assert_eq!(changed.longest(at(142.0), &service()), Duration::from_secs(40));
    }
    assert_eq!(shorter.longest(at(142.1), &service()), Duration::from_secs(2));
    assert_eq!(dropped.longest(at(142.1), &service()), Duration::ZERO);
    assert_eq!(shorter.current(&service()), Duration::from_secs(2));
    assert_eq!(dropped.current(&service()), Duration::ZERO);
}

#[test]
fn lives_that_change_quickly_each_count_for_their_time() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let mut changed = StreamLives::new(APPLY_TIME);
    for (second, life) in [(0, 10), (1, 60), (2, 5), (3, 30), (4, 1)] {
        changed = changed.replaced(at(second), lives(life));
    }
    // The life of 60 s was replaced at 2 s, that of 30 s at 4 s.
    for (second, life) in [(4, 60), (64, 60), (65, 1)] {
        assert_eq!(
            changed.longest(at(second), &service()),
            Duration::from_secs(life),
            "at {second}"
        );
    }
    let longer = changed.replaced(at(5), lives(90));
    assert_eq!(longer.longest(at(5), &service()), Duration::from_secs(90));
}
