//! Which unfinished bodies give way to others.

use std::time::{Duration, Instant};

use mustardgate_core::buffers::{BodyId, STALL_TIME, UnfinishedBodies};

/// Callers of a crowd, and the interval in which they come.
const CROWD: BodyId = 40;
const INTERVAL: Duration = Duration::from_millis(10);
const STEP: Duration = Duration::from_millis(100);

/// Returns a crowd whose bodies stopped short of their end one after the other, and the time after the last one.
fn stalled_crowd() -> (UnfinishedBodies, Instant) {
    let mut bodies = UnfinishedBodies::default();
    let mut now = Instant::now();
    for id in 0..CROWD {
        bodies.begin(id, now);
        bodies.record_bytes(id, 60_000, now);
        now += INTERVAL;
    }
    (bodies, now)
}

#[test]
fn the_bodies_that_are_silent_for_longest_give_way_first_and_only_once() {
    let (mut bodies, now) = stalled_crowd();
    let now = now + STALL_TIME;
    assert_eq!(bodies.evict(3, now), [0, 1, 2]);
    assert_eq!(bodies.evict(2, now), [3, 4]);
    assert_eq!(bodies.evict(usize::MAX, now), (5..CROWD).collect::<Vec<_>>());
    assert!(bodies.evict(usize::MAX, now).is_empty());
}

// Guards against refusals of callers on a link that lost a packet.
#[test]
fn no_body_gives_way_before_it_has_stalled() {
    let (mut bodies, now) = stalled_crowd();
    assert!(bodies.evict(usize::MAX, now).is_empty());
}

// Guards against crowds whose callers send a byte now and then, and against the end of a body that is only slow.
#[test]
fn a_slow_body_keeps_its_room_and_one_of_single_bytes_does_not() {
    let (mut bodies, mut now) = (UnfinishedBodies::default(), Instant::now());
    bodies.begin(1, now);
    bodies.begin(2, now);
    let mut ended = Vec::new();
    for _ in 0..30 {
        now += STEP;
        bodies.record_bytes(1, 1, now);
        bodies.record_bytes(2, 200, now);
        ended.extend(bodies.evict(usize::MAX, now));
    }
    assert_eq!(ended, [1]);
}

#[test]
fn a_whole_body_does_not_give_way() {
    let (mut bodies, now) = stalled_crowd();
    for id in 0..CROWD {
        bodies.end(id);
    }
    assert!(bodies.evict(usize::MAX, now + STALL_TIME).is_empty());
}
