//! By what right a leader acts, with the log and without it.

use std::time::Duration;

use mustardgate_core::{
    ids::FencingNumber,
    leader::{LeaderEvent, LeaderTenure, MoveRefusal},
    log::{BatchRecord, LogRecord},
    ports::{EngineReport, LogEntry, OrderError},
    resources::FencingSupport,
};

use crate::bench::{LeaderBench, STEP, TERM, config, load};

#[test]
fn log_away_commits_no_memory_on_engines_that_ignore_numbers() {
    let mut bench = LeaderBench::leading(FencingSupport::Ignores);
    bench.is_log_away = true;
    bench.run(STEP);
    bench.plan(&[load("r0", "a")]);
    assert_eq!(bench.refusals, [MoveRefusal::LogAway]);
    bench.run(TERM);
    assert_eq!(bench.leader.tenure(), LeaderTenure::Follower);
    assert!(bench.orders.is_empty());
}

#[test]
fn successor_without_the_log_raises_above_what_the_engine_reports() {
    let mut bench = LeaderBench::new(FencingSupport::Refuses);
    let held = FencingNumber {
        lease_offset: 9,
        succession: 2,
        address: 500,
    };
    bench.reports = [(); 2].map(|()| EngineReport {
        fencing: held,
        ..EngineReport::default()
    });
    bench.is_log_away = true;
    bench.event(LeaderEvent::SuccessorChanged(true));
    bench.run(TERM + Duration::from_secs(2));
    assert_eq!(bench.leader.tenure(), LeaderTenure::Succeeded);
    let expected = FencingNumber {
        lease_offset: 9,
        succession: 3,
        address: 77,
    };
    assert_eq!(bench.raises, [expected, expected]);
    let next_lease = FencingNumber {
        lease_offset: 10,
        ..FencingNumber::default()
    };
    assert!(held < expected && expected < next_lease);
    bench.plan(&[load("r0", "a")]);
    assert_eq!(bench.orders[0].fencing, expected);
    assert_eq!(bench.refusals, []);
}

#[test]
fn node_that_is_not_the_successor_does_not_lead_without_the_log() {
    let mut bench = LeaderBench::new(FencingSupport::Refuses);
    bench.is_log_away = true;
    bench.run(TERM * 3);
    assert_eq!(bench.leader.tenure(), LeaderTenure::Follower);
    assert_eq!(bench.raises, []);
}

#[test]
fn refused_order_ends_the_use_of_the_runner() {
    let mut bench = LeaderBench::leading(FencingSupport::Refuses);
    bench.plan(&[load("r0", "a")]);
    let order = bench.orders[0].clone();
    let newest = FencingNumber {
        lease_offset: 50,
        ..order.fencing
    };
    let outcome = Err(OrderError::Fenced { newest });
    bench.event(LeaderEvent::OrderAnswered {
        backend: "r0".into(),
        order: order.order,
        outcome,
    });
    bench.plan(&[load("r0", "b")]);
    assert!(matches!(bench.refusals[..], [MoveRefusal::UnknownState { .. }]));
    bench.run(Duration::from_secs(5));
    assert_eq!(bench.raises.len(), 2, "a number of a newer lease is not outbid");
}

#[test]
fn appends_stay_within_ten_a_second() {
    let mut bench = LeaderBench::leading(FencingSupport::Ignores);
    let mut domain = config(FencingSupport::Ignores);
    domain.runners[0].accelerators = vec![100_000];
    domain.policy.store_loads_per_second = 1_000.0;
    domain.policy.store_concurrent_loads = 1_000;
    bench.event(LeaderEvent::DomainChanged(domain));
    let before = bench.log.len();
    for step in 0..100 {
        bench.now += Duration::from_millis(10);
        let name = format!("m{step}");
        bench.plan(&[load("r0", &name)]);
        let offset = bench.log.len() as u64 - 1;
        let record = bench.log[offset as usize].clone();
        bench.event(LeaderEvent::LogRead(vec![LogEntry { offset, record }]));
    }
    let appends = bench.log.len() - before;
    assert!((5..=10).contains(&appends), "{appends} appends in a second");
    assert!(bench.orders.len() > 50);
}

#[test]
fn incomplete_window_of_the_log_commits_no_memory() {
    let mut bench = LeaderBench::new(FencingSupport::Ignores);
    bench.event(LeaderEvent::LogStarted(1));
    bench.log.push(LogRecord::Batch(BatchRecord::default()));
    bench.run(Duration::from_secs(2));
    assert!(matches!(bench.leader.tenure(), LeaderTenure::Leased(_)));
    bench.plan(&[load("r0", "a")]);
    assert!(matches!(bench.refusals[..], [MoveRefusal::UnknownState { .. }]));
}

#[test]
fn drained_leader_begins_nothing_and_releases_its_lease() {
    let mut bench = LeaderBench::leading(FencingSupport::Refuses);
    bench.event(LeaderEvent::Draining);
    bench.plan(&[load("r0", "a")]);
    assert_eq!(bench.refusals, [MoveRefusal::NotLeading]);
    bench.run(Duration::from_secs(1));
    assert_eq!(bench.leader.tenure(), LeaderTenure::Follower);
    assert!(matches!(bench.log.last(), Some(LogRecord::Lease(lease)) if lease.released));
}
