//! Which planned moves a leader starts, and how their orders are sent.

use std::time::Duration;

use mustardgate_core::{
    leader::{DomainConfig, LeaderEvent, MoveRefusal},
    log::LogRecord,
    placement::BaseAssignment,
    resources::{FencingSupport, PolicySpec},
};

use crate::harness::{LeaderHarness, STEP, artifact, config, load, ready, unload};

#[test]
fn intent_is_in_the_log_before_the_order_is_sent() {
    let mut harness = LeaderHarness::leading(FencingSupport::Ignores);
    harness.plan(&[load("r0", "a")]);
    assert!(harness.orders.is_empty());
    harness.run(STEP * 3);
    let order = harness
        .orders
        .first()
        .expect("the order follows its intent")
        .order
        .clone();
    let is_logged = harness.log.iter().any(|record| match record {
        LogRecord::Batch(batch) => batch.intents.iter().any(|intent| intent.order == order),
        _ => false,
    });
    assert!(is_logged);
    assert_eq!(harness.raises, []);
}

#[test]
fn unsettled_order_is_sent_again_under_its_identifier() {
    let mut harness = LeaderHarness::leading(FencingSupport::Ignores);
    harness.plan(&[load("r0", "a")]);
    harness.run(Duration::from_secs(4));
    let first = harness.orders[0].clone();
    assert!(harness.orders.len() >= 3 && harness.orders.iter().all(|order| *order == first));
    harness.reports[0].settled = vec![first.order];
    harness.run(Duration::from_secs(1));
    let sent = harness.orders.len();
    harness.run(Duration::from_secs(4));
    assert_eq!(harness.orders.len(), sent);
}

#[test]
fn last_replica_is_kept_until_another_is_ready() {
    let mut harness = LeaderHarness::leading(FencingSupport::Refuses);
    harness.reports[0].resident = vec![ready("a"), ready("undeclared")];
    harness.run(Duration::from_secs(1));
    harness.plan(&[unload("r0", "a"), unload("r0", "undeclared")]);
    assert_eq!(harness.refusals, [MoveRefusal::LastReplica]);
    assert_eq!(harness.orders.len(), 1);
    harness.reports[1].resident = vec![ready("a")];
    harness.run(Duration::from_secs(1));
    harness.plan(&[unload("r0", "a"), unload("r1", "a")]);
    assert_eq!(harness.refusals, [MoveRefusal::LastReplica, MoveRefusal::LastReplica]);
}

#[test]
fn only_a_domain_without_base_replica_relies_on_another() {
    let mut harness = LeaderHarness::leading(FencingSupport::Refuses);
    harness.reports[0].resident = vec![ready("a")];
    let mut domain = config(FencingSupport::Refuses);
    domain.served_elsewhere.insert(artifact("a"));
    domain.demands[0].base_assignments.push(BaseAssignment {
        backend: "r0".into(),
        accelerator: 0,
    });
    harness.event(LeaderEvent::DomainChanged(domain.clone()));
    harness.run(Duration::from_secs(1));
    harness.plan(&[unload("r0", "a")]);
    assert_eq!(harness.refusals, [MoveRefusal::LastReplica]);
    domain.demands[0].base_assignments.clear();
    harness.event(LeaderEvent::DomainChanged(domain));
    harness.plan(&[unload("r0", "a")]);
    assert_eq!(harness.orders.len(), 1);
}

#[test]
fn loads_stay_within_the_domains_share_of_the_weight_store() {
    let mut harness = LeaderHarness::leading(FencingSupport::Refuses);
    let policy = PolicySpec {
        store_loads_per_second: 1.0,
        ..PolicySpec::default()
    };
    let domain = DomainConfig {
        policy,
        ..config(FencingSupport::Refuses)
    };
    harness.event(LeaderEvent::DomainChanged(domain));
    harness.plan(&[load("r0", "a"), load("r1", "a")]);
    assert_eq!(harness.refusals, [MoveRefusal::StoreBusy]);
    harness.run(Duration::from_secs(1));
    harness.plan(&[load("r1", "a")]);
    assert_eq!(harness.refusals.len(), 1);
}
