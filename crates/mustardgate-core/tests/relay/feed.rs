//! The limit on bytes for other nodes.

use std::time::{Duration, Instant};

use mustardgate_core::relay::{FeedAllowance, FeedLimits};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

const LIMITS: FeedLimits = FeedLimits {
    bytes_per_s: 100_000.0,
    burst_bytes: 5_000.0,
    max_delay: Duration::from_millis(200),
};

#[test]
fn an_answer_larger_than_the_burst_is_sent_and_delays_the_next_ones() {
    let now = Instant::now();
    let mut allowance = FeedAllowance::new(LIMITS);
    assert_eq!(allowance.reserve(now, 20_000), Some(Duration::ZERO));
    let delay = allowance.reserve(now, 10_000).expect("within the limit");
    assert_eq!(delay.as_millis(), 150);
    assert_eq!(allowance.reserve(now, 1), None);
    assert!(allowance.reserve(now + Duration::from_millis(100), 1).is_some());
}

#[test]
fn a_look_for_room_reserves_nothing() {
    let now = Instant::now();
    let mut allowance = FeedAllowance::new(LIMITS);
    assert!(allowance.has_room(now));
    assert!(allowance.reserve(now, 60_000).is_some());
    assert!(!allowance.has_room(now));
    assert!(allowance.has_room(now + Duration::from_millis(350)));
    assert_eq!(
        allowance.reserve(now + Duration::from_millis(350), 1),
        Some(LIMITS.max_delay)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(20), ..ProptestConfig::default() })]
    #[test]
    fn granted_bytes_stay_within_the_rate(answers in vec((0_u64..50, 1_usize..30_000), 1..200)) {
        let start = Instant::now();
        let mut allowance = FeedAllowance::new(LIMITS);
        let mut now = start;
        let mut sent: Vec<(Instant, usize)> = Vec::new();
        for (pause_ms, bytes) in answers {
            now += Duration::from_millis(pause_ms);
            if let Some(delay) = allowance.reserve(now, bytes) {
                prop_assert!(delay <= LIMITS.max_delay);
                sent.push((now + delay, bytes));
            }
        }
        for (first, (from, _)) in sent.iter().enumerate() {
            let mut total = 0;
            for (until, bytes) in &sent[first..] {
                let window_s = until.saturating_duration_since(*from).as_secs_f64();
                let allowed = LIMITS.bytes_per_s * window_s + LIMITS.burst_bytes + 1.0;
                prop_assert!(f64::from(total) <= allowed, "{total} bytes before an answer, {allowed} allowed");
                total += *bytes as u32;
            }
        }
    }
}
