//! Which planned moves a leader begins, and how their orders go out.

use std::time::Duration;

use mustardgate_core::{
    leader::{DomainConfig, LeaderEvent, MoveRefusal},
    log::LogRecord,
    placement::BaseAssignment,
    resources::{FencingSupport, PolicySpec},
};

use crate::bench::{LeaderBench, STEP, artifact, config, load, ready, unload};

#[test]
fn intent_is_in_the_log_before_the_order_is_sent() {
    let mut bench = LeaderBench::leading(FencingSupport::Ignores);
    bench.plan(&[load("r0", "a")]);
    assert!(bench.orders.is_empty());
    bench.run(STEP * 3);
    let order = bench
        .orders
        .first()
        .expect("the order follows its intent")
        .order
        .clone();
    let is_logged = bench.log.iter().any(|record| match record {
        LogRecord::Batch(batch) => batch.intents.iter().any(|intent| intent.order == order),
        _ => false,
    });
    assert!(is_logged);
    assert_eq!(bench.raises, []);
}

#[test]
fn unsettled_order_is_sent_again_under_its_identifier() {
    let mut bench = LeaderBench::leading(FencingSupport::Ignores);
    bench.plan(&[load("r0", "a")]);
    bench.run(Duration::from_secs(4));
    let first = bench.orders[0].clone();
    assert!(bench.orders.len() >= 3 && bench.orders.iter().all(|order| *order == first));
    bench.reports[0].settled = vec![first.order];
    bench.run(Duration::from_secs(1));
    let sent = bench.orders.len();
    bench.run(Duration::from_secs(4));
    assert_eq!(bench.orders.len(), sent);
}

#[test]
fn last_replica_stays_until_another_answers() {
    let mut bench = LeaderBench::leading(FencingSupport::Refuses);
    bench.reports[0].resident = vec![ready("a"), ready("undeclared")];
    bench.run(Duration::from_secs(1));
    bench.plan(&[unload("r0", "a"), unload("r0", "undeclared")]);
    assert_eq!(bench.refusals, [MoveRefusal::LastReplica]);
    assert_eq!(bench.orders.len(), 1);
    bench.reports[1].resident = vec![ready("a")];
    bench.run(Duration::from_secs(1));
    bench.plan(&[unload("r0", "a"), unload("r1", "a")]);
    assert_eq!(bench.refusals, [MoveRefusal::LastReplica, MoveRefusal::LastReplica]);
}

#[test]
fn only_a_domain_without_base_replica_relies_on_another() {
    let mut bench = LeaderBench::leading(FencingSupport::Refuses);
    bench.reports[0].resident = vec![ready("a")];
    let mut domain = config(FencingSupport::Refuses);
    domain.answered_elsewhere.insert(artifact("a"));
    domain.demands[0].base_assignments.push(BaseAssignment {
        backend: "r0".into(),
        accelerator: 0,
    });
    bench.event(LeaderEvent::DomainChanged(domain.clone()));
    bench.run(Duration::from_secs(1));
    bench.plan(&[unload("r0", "a")]);
    assert_eq!(bench.refusals, [MoveRefusal::LastReplica]);
    domain.demands[0].base_assignments.clear();
    bench.event(LeaderEvent::DomainChanged(domain));
    bench.plan(&[unload("r0", "a")]);
    assert_eq!(bench.orders.len(), 1);
}

#[test]
fn loads_keep_to_the_domains_share_of_the_store() {
    let mut bench = LeaderBench::leading(FencingSupport::Refuses);
    let policy = PolicySpec {
        store_loads_per_second: 1.0,
        ..PolicySpec::default()
    };
    let domain = DomainConfig {
        policy,
        ..config(FencingSupport::Refuses)
    };
    bench.event(LeaderEvent::DomainChanged(domain));
    bench.plan(&[load("r0", "a"), load("r1", "a")]);
    assert_eq!(bench.refusals, [MoveRefusal::StoreBusy]);
    bench.run(Duration::from_secs(1));
    bench.plan(&[load("r1", "a")]);
    assert_eq!(bench.refusals.len(), 1);
}
