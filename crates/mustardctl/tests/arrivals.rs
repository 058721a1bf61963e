//! Arrivals are determined by the seed, have the given rate, and are divided among tenants by weight.

use std::time::Duration;

use mustardctl::load::{ArrivalSchedule, ScheduledRequest};

fn schedule(seed: u64) -> Vec<ScheduledRequest> {
    let weights = vec![1.0, 3.0];
    ArrivalSchedule::new(seed, 200.0, Duration::from_secs(50), weights, 2).collect()
}

#[test]
fn the_seed_determines_the_schedule() {
    assert_eq!(schedule(4), schedule(4));
    assert_ne!(schedule(4), schedule(5));
}

#[test]
fn arrivals_have_the_given_rate_and_shares() {
    let requests = schedule(4);
    assert!((9_500..10_500).contains(&requests.len()), "{}", requests.len());
    assert!(requests.is_sorted_by_key(|request| request.due));
    let heavy = requests.iter().filter(|request| request.tenant == 1).count();
    let share = heavy as f64 / requests.len() as f64;
    assert!((0.72..0.78).contains(&share), "{share}");
}
