//! Tenure of a leader with the log and without it.

use std::time::Duration;

use mustardgate_core::{
    ids::FencingNumber,
    leader::{LeaderEvent, LeaderTenure, MoveRefusal},
    log::{BatchRecord, LogRecord},
    ports::{EngineReport, LogEntry, OrderError},
    resources::FencingSupport,
};

use crate::harness::{LeaderHarness, STEP, TERM, config, load};

#[test]
fn unavailable_log_commits_no_memory_on_engines_that_ignore_fencing() {
    let mut harness = LeaderHarness::leading(FencingSupport::Ignores);
    harness.is_log_unavailable = true;
    harness.run(STEP);
    harness.plan(&[load("r0", "a")]);
    assert_eq!(harness.refusals, [MoveRefusal::LogUnavailable]);
    harness.run(TERM);
    assert_eq!(harness.leader.tenure(), LeaderTenure::Follower);
    assert!(harness.orders.is_empty());
}

#[test]
fn successor_without_the_log_raises_above_what_the_engine_reports() {
    let mut harness = LeaderHarness::new(FencingSupport::Refuses);
    let held = FencingNumber {
        lease_offset: 9,
        succession: 2,
        address: 500,
    };
    harness.reports = [(); 2].map(|()| EngineReport {
        fencing: held,
        ..EngineReport::default()
    });
    harness.is_log_unavailable = true;
    harness.event(LeaderEvent::SuccessorChanged(true));
    harness.run(TERM + Duration::from_secs(2));
    assert_eq!(harness.leader.tenure(), LeaderTenure::Succeeded);
    let expected = FencingNumber {
        lease_offset: 9,
        succession: 3,
        address: 77,
    };
    assert_eq!(harness.raises, [expected, expected]);
    let next_lease = FencingNumber {
        lease_offset: 10,
        ..FencingNumber::default()
    };
    assert!(held < expected && expected < next_lease);
    harness.plan(&[load("r0", "a")]);
    assert_eq!(harness.orders[0].fencing, expected);
    assert_eq!(harness.refusals, []);
}

#[test]
fn node_that_is_not_the_successor_does_not_lead_without_the_log() {
    let mut harness = LeaderHarness::new(FencingSupport::Refuses);
    harness.is_log_unavailable = true;
    harness.run(TERM * 3);
    assert_eq!(harness.leader.tenure(), LeaderTenure::Follower);
    assert_eq!(harness.raises, []);
}

#[test]
fn fenced_order_suspends_the_runner() {
    let mut harness = LeaderHarness::leading(FencingSupport::Refuses);
    harness.plan(&[load("r0", "a")]);
    let order = harness.orders[0].clone();
    let newest = FencingNumber {
        lease_offset: 50,
        ..order.fencing
    };
    let outcome = Err(OrderError::Fenced { newest });
    harness.event(LeaderEvent::OrderAnswered {
        backend: "r0".into(),
        order: order.order,
        outcome,
    });
    harness.plan(&[load("r0", "b")]);
    assert!(matches!(harness.refusals[..], [MoveRefusal::UnknownState { .. }]));
    harness.run(Duration::from_secs(5));
    assert_eq!(harness.raises.len(), 2, "a number of a newer lease is not exceeded");
}

#[test]
fn appends_stay_within_ten_a_second() {
    let mut harness = LeaderHarness::leading(FencingSupport::Ignores);
    let mut domain = config(FencingSupport::Ignores);
    domain.runners[0].accelerators = vec![100_000];
    domain.policy.store_loads_per_second = 1_000.0;
    domain.policy.store_concurrent_loads = 1_000;
    harness.event(LeaderEvent::DomainChanged(domain));
    let before = harness.log.len();
    for step in 0..100 {
        harness.now += Duration::from_millis(10);
        let name = format!("m{step}");
        harness.plan(&[load("r0", &name)]);
        let offset = harness.log.len() as u64 - 1;
        let record = harness.log[offset as usize].clone();
        harness.event(LeaderEvent::LogRead(vec![LogEntry { offset, record }]));
    }
    let appends = harness.log.len() - before;
    assert!((5..=10).contains(&appends), "{appends} appends in a second");
    assert!(harness.orders.len() > 50);
}

#[test]
fn trimmed_log_without_checkpoint_commits_no_memory() {
    let mut harness = LeaderHarness::new(FencingSupport::Ignores);
    harness.event(LeaderEvent::LogStarted(1));
    harness.log.push(LogRecord::Batch(BatchRecord::default()));
    harness.run(Duration::from_secs(2));
    assert!(matches!(harness.leader.tenure(), LeaderTenure::Leased(_)));
    harness.plan(&[load("r0", "a")]);
    assert!(matches!(harness.refusals[..], [MoveRefusal::UnknownState { .. }]));
}

#[test]
fn drained_leader_starts_no_move_and_releases_its_lease() {
    let mut harness = LeaderHarness::leading(FencingSupport::Refuses);
    harness.event(LeaderEvent::Draining);
    harness.plan(&[load("r0", "a")]);
    assert_eq!(harness.refusals, [MoveRefusal::NotLeading]);
    harness.run(Duration::from_secs(1));
    assert_eq!(harness.leader.tenure(), LeaderTenure::Follower);
    assert!(matches!(harness.log.last(), Some(LogRecord::Lease(lease)) if lease.released));
}
