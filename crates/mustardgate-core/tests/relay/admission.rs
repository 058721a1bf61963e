//! Admission and retry delays: in a burst that exceeds a runner's prefill rate, early refusal keeps the remaining
//! requests within their target.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use mustardgate_core::relay::{
    AdmissionGate, AdmissionQuery, BacklogEstimate, GateSettings, RefusalCause, RetryAdvisor,
};

/// Time that the runner needs to process one prompt.
const PREFILL_TIME: Duration = Duration::from_millis(90);
const TARGET: Duration = Duration::from_millis(600);
const NODES: usize = 7;

fn query(wait: Duration) -> AdmissionQuery {
    AdmissionQuery {
        wait,
        elapsed: Duration::ZERO,
        target: TARGET,
        urgent_target: TARGET,
        is_begun: false,
    }
}

/// Numbers of requests in a burst by outcome.
#[derive(Debug, Default)]
struct BurstOutcome {
    in_target: usize,
    late: usize,
    refused: usize,
}

/// Simulates a burst of evenly spaced requests from several nodes to one runner that processes prompts in order.
fn simulate_burst(gate: &AdmissionGate, interval: Duration, requests: usize) -> BurstOutcome {
    let start = Instant::now();
    let mut estimates = vec![BacklogEstimate::default(); NODES];
    let mut waiting: VecDeque<(usize, u64, Instant, Instant)> = VecDeque::new();
    let mut runner_free_at = start;
    let mut outcome = BurstOutcome::default();
    for index in 0..requests {
        let now = start + interval * index as u32;
        while waiting.front().is_some_and(|(_, _, _, started_at)| *started_at <= now) {
            let (node, number, sent_at, started_at) = waiting.pop_front().unwrap();
            estimates[node].end(started_at, number);
            if started_at - sent_at <= TARGET {
                outcome.in_target += 1;
            } else {
                outcome.late += 1;
            }
        }
        let node = index % NODES;
        if !gate.admits(&query(estimates[node].expected(now))) {
            outcome.refused += 1;
            continue;
        }
        let number = estimates[node].begin(now);
        runner_free_at = runner_free_at.max(now) + PREFILL_TIME;
        waiting.push_back((node, number, now, runner_free_at));
    }
    outcome
}

#[test]
fn a_burst_of_twice_the_capacity_is_mostly_answered_within_target() {
    let open_gate = AdmissionGate::new(GateSettings {
        max_wait_share: 1_000.0,
        ..GateSettings::default()
    });
    let interval = PREFILL_TIME / 2;
    let ungated = simulate_burst(&open_gate, interval, 800);
    let gated = simulate_burst(&AdmissionGate::default(), interval, 800);
    assert!(ungated.in_target < 40, "{ungated:?}");
    // The runner can process 400 prompts in this time.
    assert!(gated.in_target > 340, "{gated:?}");
    assert_eq!(gated.late, 0, "{gated:?}");
}

#[test]
fn a_load_within_capacity_is_not_refused() {
    let outcome = simulate_burst(&AdmissionGate::default(), PREFILL_TIME * 5 / 4, 400);
    assert_eq!(outcome.refused, 0, "{outcome:?}");
    assert_eq!(outcome.late, 0, "{outcome:?}");
}

#[test]
fn latency_tolerant_requests_yield_to_urgent_ones_of_the_same_service() {
    let gate = AdmissionGate::default();
    for wait_ms in (0..600).step_by(10) {
        let urgent = query(Duration::from_millis(wait_ms));
        for target in [Duration::from_millis(1_500), Duration::from_secs(6)] {
            let tolerant = AdmissionQuery { target, ..urgent };
            assert!(gate.admits(&urgent) || !gate.admits(&tolerant), "{tolerant:?}");
        }
    }
    let batch = AdmissionQuery {
        target: Duration::from_secs(6),
        ..query(Duration::from_millis(200))
    };
    assert!(!gate.admits(&batch));
    assert!(gate.max_queue_time(&batch) > gate.max_queue_time(&query(Duration::ZERO)));
}

#[test]
fn the_oldest_waiting_request_shows_the_backlog_without_lag() {
    let start = Instant::now();
    let mut estimate = BacklogEstimate::default();
    assert_eq!(estimate.expected(start), Duration::ZERO);
    let first = estimate.begin(start);
    let second = estimate.begin(start + Duration::from_millis(300));
    let later = start + Duration::from_millis(900);
    assert_eq!(estimate.expected(later), Duration::from_millis(900));
    estimate.end(later, first);
    assert_eq!(estimate.expected(later), Duration::from_millis(900));
    estimate.discard(second);
    let much_later = later + Duration::from_secs(3);
    assert_eq!(estimate.expected(much_later), Duration::ZERO);
}

#[test]
fn retry_delays_after_a_refusal_have_jitter() {
    let advisor = RetryAdvisor::default();
    let low = advisor.retry_delay(RefusalCause::Overloaded, None, 0.0);
    let high = advisor.retry_delay(RefusalCause::Overloaded, None, 1.0);
    assert!(low > Duration::ZERO && high >= low * 2, "{low:?} {high:?}");
    let load = Duration::from_secs(6);
    assert!(advisor.retry_delay(RefusalCause::ModelAbsent, Some(load), 0.0) >= load);
}

// Guards against LOST breaks: streams that are taken up have the runners of one version only, which are full first.
#[test]
fn a_stream_that_has_begun_is_admitted_where_a_new_one_is_refused() {
    let gate = AdmissionGate::default();
    let wait = TARGET.mul_f64(0.9);
    let begun = AdmissionQuery {
        is_begun: true,
        ..query(wait)
    };
    assert!(!gate.admits(&query(wait)));
    assert!(gate.admits(&begun));
    assert!(gate.max_queue_time(&begun) > gate.max_queue_time(&query(wait)));
    // A runner at which it would wait longer than callers do is no use to it.
    assert!(!gate.admits(&AdmissionQuery {
        wait: TARGET * 4,
        ..begun
    }));
}
