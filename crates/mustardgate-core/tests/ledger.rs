//! Tests of the memory ledger, and of the open intents that follow from log order.

use mustardgate_core::{
    ids::{FencingNumber, OrderId},
    ledger::{LedgerViolation, MemoryLedger, OpenIntents, OpenOrder},
    log::{Artifact, BatchLease, BatchRecord, OrderAction, OrderIntent},
    ports::ResidentArtifact,
};
use proptest::prelude::{Strategy, any, prop_assert, proptest};

const CAPACITY_MIB: u64 = 100;

fn artifact(name: &str) -> Artifact {
    Artifact {
        model: name.into(),
        adapter: None,
        version: "v1".into(),
    }
}

fn load(order: &str, name: &str, memory_mib: u64) -> OpenOrder {
    let artifact = artifact(name);
    OpenOrder {
        order: order.into(),
        action: OrderAction::Load { artifact, memory_mib },
    }
}

fn unload(order: &str, name: &str) -> OpenOrder {
    let artifact = artifact(name);
    OpenOrder {
        order: order.into(),
        action: OrderAction::Unload { artifact },
    }
}

fn resident(name: &str, memory_mib: u64) -> ResidentArtifact {
    ResidentArtifact {
        accelerator: 0,
        artifact: artifact(name),
        memory_mib,
        is_ready: true,
    }
}

fn report(ledger: &mut MemoryLedger, held: &[ResidentArtifact], settled: &[&str]) -> Result<(), LedgerViolation> {
    let settled: Vec<OrderId> = settled.iter().map(|order| (*order).into()).collect();
    ledger.apply_report(held.iter().cloned(), &settled)
}

#[test]
fn refuses_a_load_beyond_capacity_and_stays_unchanged() {
    let mut ledger = MemoryLedger::new(CAPACITY_MIB);
    assert_eq!(ledger.propose(load("o1", "a", 60)), Ok(()));
    let refusal = ledger.propose(load("o2", "b", 41));
    assert!(matches!(
        refusal,
        Err(LedgerViolation::OverCapacity { committed_mib: 101, .. })
    ));
    assert_eq!(ledger.totals().reserved_mib, 60);
    assert_eq!(ledger.propose(load("o3", "b", 40)), Ok(()));
}

#[test]
fn report_older_than_the_order_keeps_the_reservation() {
    let mut ledger = MemoryLedger::new(CAPACITY_MIB);
    assert_eq!(ledger.propose(load("o1", "a", 60)), Ok(()));
    assert_eq!(report(&mut ledger, &[], &[]), Ok(()));
    assert_eq!(ledger.totals().reserved_mib, 60);
    assert_eq!(report(&mut ledger, &[], &["o1"]), Ok(()));
    assert_eq!(ledger.totals().committed_mib(), 0);
}

#[test]
fn weights_count_once_while_their_load_is_open() {
    let mut ledger = MemoryLedger::new(CAPACITY_MIB);
    assert_eq!(ledger.propose(load("o1", "a", 60)), Ok(()));
    assert_eq!(report(&mut ledger, &[resident("a", 60)], &[]), Ok(()));
    assert_eq!(ledger.totals().committed_mib(), 60);
    assert!(!ledger.is_available(&artifact("a")));
}

#[test]
fn unloading_weights_count_until_the_engine_reports_them_gone() {
    let mut ledger = MemoryLedger::new(CAPACITY_MIB);
    assert_eq!(report(&mut ledger, &[resident("a", 60)], &[]), Ok(()));
    assert_eq!(ledger.propose(unload("o1", "a")), Ok(()));
    assert_eq!(ledger.totals().unloading_mib, 60);
    assert!(ledger.propose(load("o2", "b", 60)).is_err());
    assert_eq!(report(&mut ledger, &[], &["o1"]), Ok(()));
    assert_eq!(ledger.propose(load("o3", "b", 60)), Ok(()));
}

#[test]
fn load_and_unload_of_the_same_weights_never_race() {
    let mut ledger = MemoryLedger::new(CAPACITY_MIB);
    assert_eq!(ledger.propose(load("o1", "a", 60)), Ok(()));
    assert_eq!(report(&mut ledger, &[resident("a", 60)], &[]), Ok(()));
    let refusal = ledger.propose(unload("o2", "a"));
    assert_eq!(refusal, Err(LedgerViolation::OrderOpen { order: "o1".into() }));
}

#[test]
fn inherited_orders_count_even_where_they_do_not_fit() {
    let mut ledger = MemoryLedger::new(CAPACITY_MIB);
    ledger.inherit(load("o1", "a", 60));
    ledger.inherit(load("o2", "b", 60));
    assert_eq!(ledger.totals().reserved_mib, 120);
    assert!(ledger.check().is_err());
    assert!(ledger.propose(load("o3", "c", 1)).is_err());
    assert_eq!(report(&mut ledger, &[resident("a", 60)], &["o1", "o2"]), Ok(()));
}

fn intent(order: &str) -> OrderIntent {
    OrderIntent {
        order: order.into(),
        backend: "r1".into(),
        accelerator: 0,
        action: load(order, order, 10).action,
        fencing: FencingNumber::default(),
    }
}

fn batch(claim: u64, sequence: u64, is_checkpoint: bool, intents: &[&str], settled: &[&str]) -> BatchRecord {
    BatchRecord {
        domain: "d1".into(),
        lease: Some(BatchLease {
            claim,
            sequence,
            is_checkpoint,
        }),
        intents: intents.iter().map(|order| intent(order)).collect(),
        settled: settled.iter().map(|order| (*order).into()).collect(),
        ..BatchRecord::default()
    }
}

fn open(intents: &OpenIntents) -> Vec<&str> {
    intents.open().map(|intent| intent.order.as_str()).collect()
}

#[test]
fn intents_stay_open_across_leaders_until_settled() {
    let mut intents = OpenIntents::new("d1".into());
    intents.start(0);
    assert!(intents.observe(&batch(4, 1, false, &["o1", "o2"], &[]), Some(4)));
    assert!(intents.observe(&batch(9, 1, false, &["o3"], &["o1"]), Some(9)));
    assert_eq!(open(&intents), ["o2", "o3"]);
}

#[test]
fn batch_of_a_replaced_leader_and_a_repeated_batch_have_no_effect() {
    let mut intents = OpenIntents::new("d1".into());
    intents.start(0);
    assert!(intents.observe(&batch(4, 1, false, &["o1"], &[]), Some(4)));
    assert!(intents.observe(&batch(4, 2, false, &[], &["o1"]), Some(4)));
    assert!(!intents.observe(&batch(4, 1, false, &["o1"], &[]), Some(4)));
    assert!(!intents.observe(&batch(4, 3, false, &["o2"], &[]), Some(9)));
    assert!(open(&intents).is_empty());
}

#[test]
fn trimmed_log_is_complete_from_a_checkpoint_on() {
    let mut intents = OpenIntents::new("d1".into());
    intents.start(20);
    assert!(intents.observe(&batch(4, 7, false, &["o7"], &[]), Some(4)));
    assert!(!intents.is_complete());
    assert!(intents.observe(&batch(4, 8, true, &["o2", "o7"], &[]), Some(4)));
    assert!(intents.is_complete());
    assert_eq!(open(&intents), ["o2", "o7"]);
}

#[test]
fn checkpoint_read_before_its_claim_was_confirmed_counts_afterwards() {
    let mut intents = OpenIntents::new("d1".into());
    intents.start(20);
    assert!(!intents.observe(&batch(4, 8, true, &["o2"], &[]), None));
    assert!(!intents.observe(&batch(3, 9, true, &["o1"], &[]), None));
    assert!(!intents.is_complete());
    intents.confirm_claim(4);
    assert!(intents.is_complete());
    assert_eq!(open(&intents), ["o2"]);
}

proptest! {
    /// The memory of an engine that carries out every order, at once or later, is never exceeded.
    #[test]
    fn engine_that_carries_out_every_order_never_exceeds_its_memory(
        steps in proptest::collection::vec(
            (0..6usize, 10..60u64, any::<bool>())
                .prop_map(|(weights, memory, is_late)| (weights, memory, is_late)), 1..60),
    ) {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut ledger = MemoryLedger::new(CAPACITY_MIB);
        let mut held: Vec<ResidentArtifact> = Vec::new();
        let mut late: Vec<OpenOrder> = Vec::new();
        for (count, (weights, memory_mib, is_late)) in steps.into_iter().enumerate() {
            let name = names[weights];
            let order = format!("o{count}");
            let is_held = held.iter().any(|held| held.artifact == artifact(name));
            let order = if is_held { unload(&order, name) } else { load(&order, name, memory_mib) };
            late.extend(ledger.propose(order.clone()).is_ok().then_some(order));
            let arriving = if is_late { Vec::new() } else { std::mem::take(&mut late) };
            let settled: Vec<&str> = arriving.iter().map(|order| order.order.as_str()).collect();
            for order in &arriving {
                match &order.action {
                    OrderAction::Load { artifact, memory_mib } => held.push(resident(&artifact.model, *memory_mib)),
                    OrderAction::Unload { artifact } => held.retain(|held| held.artifact != *artifact),
                }
                prop_assert!(held.iter().map(|held| held.memory_mib).sum::<u64>() <= CAPACITY_MIB);
            }
            prop_assert!(report(&mut ledger, &held, &settled).is_ok());
        }
    }
}
