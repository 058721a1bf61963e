//! Retry budget: when callers retry immediately, the nodes' own retries must not multiply the load.

use std::time::{Duration, Instant};

use mustardgate_core::{
    relay::{BudgetSettings, RetryShare},
    retry::RetryAllowance,
};

fn share() -> RetryShare {
    RetryShare::new(BudgetSettings {
        ratio: 0.2,
        floor: 1.0,
        window: Duration::from_secs(10),
        arrival_spread: Duration::ZERO,
    })
}

#[test]
fn retries_stay_within_the_ratio_of_the_window() {
    let start = Instant::now();
    let mut share = share();
    for index in 0..100 {
        share.record_request(start + Duration::from_millis(index));
    }
    let now = start + Duration::from_secs(1);
    let granted = (0..100).filter(|_| share.spend(now)).count();
    assert_eq!(granted, 21);
    // Neither requests nor retries from before the sliding window count.
    let later = now + Duration::from_secs(11);
    assert!(share.spend(later));
    assert!(!share.spend(later));
}

#[test]
fn many_nodes_without_requests_spend_no_more_than_their_floors() {
    let now = Instant::now();
    let granted: usize = (0..50)
        .map(|_| {
            let mut share = share();
            (0..10).filter(|_| share.spend(now)).count()
        })
        .sum();
    assert_eq!(granted, 50);
}

#[test]
fn a_retry_counts_until_a_later_one_cannot_arrive_in_the_same_window() {
    let start = Instant::now();
    let mut share = RetryShare::new(BudgetSettings {
        ratio: 0.2,
        floor: 1.0,
        window: Duration::from_secs(10),
        arrival_spread: Duration::from_secs(2),
    });
    assert!(share.spend(start));
    assert!(!share.spend(start + Duration::from_millis(11_900)));
    assert!(share.spend(start + Duration::from_millis(12_100)));
}
