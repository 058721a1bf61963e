//! An engine never obeys two leaders under the same fencing number.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::FencingNumber,
    log::{Artifact, OrderAction},
    ports::{EngineOrder, OrderError},
    resources::FencingSupport,
};
use mustardgate_standins::engine::{EngineSettings, EngineState};

fn engine(fencing: FencingSupport) -> EngineState {
    EngineState::new(EngineSettings {
        fencing,
        accelerators: vec![100],
        load_time: Duration::from_millis(500),
        unload_time: Duration::from_millis(200),
    })
}

fn load(order: &str, fencing: FencingNumber) -> EngineOrder {
    let artifact = Artifact {
        model: "a".into(),
        adapter: None,
        version: "v1".into(),
    };
    EngineOrder {
        order: order.into(),
        fencing,
        accelerator: 0,
        action: OrderAction::Load {
            artifact,
            memory_mib: 40,
        },
    }
}

#[test]
fn a_number_is_accepted_once_even_from_a_restarted_node_at_the_same_address() {
    let (mut engine, now) = (engine(FencingSupport::Refuses), Instant::now());
    let number = FencingNumber::default().succeeded_by(77);
    engine
        .raise_fencing(now, number)
        .expect("the number is greater than the engine's");
    let newest = number;
    assert_eq!(engine.raise_fencing(now, number), Err(OrderError::Fenced { newest }));
    let next = newest.succeeded_by(77);
    engine
        .raise_fencing(now, next)
        .expect("the number is greater than the engine's");
    let late = engine.order(now, &load("old", number));
    assert_eq!(late, Err(OrderError::Fenced { newest: next }));
}

#[test]
fn competing_nodes_choose_different_numbers_and_the_smaller_is_fenced() {
    let (mut engine, now) = (engine(FencingSupport::Refuses), Instant::now());
    let held = FencingNumber {
        lease_offset: 4,
        succession: 0,
        address: 1,
    };
    let (one, two) = (held.succeeded_by(10), held.succeeded_by(11));
    assert_ne!(one, two);
    engine
        .raise_fencing(now, one)
        .expect("the number is greater than the engine's");
    engine
        .raise_fencing(now, two)
        .expect("the number is greater than the engine's");
    assert!(matches!(
        engine.order(now, &load("one", one)),
        Err(OrderError::Fenced { .. })
    ));
    engine.order(now, &load("two", two)).expect("the number is not smaller");
    let leased = FencingNumber {
        lease_offset: 5,
        ..FencingNumber::default()
    };
    engine
        .raise_fencing(now, leased)
        .expect("the number is greater than the engine's");
    assert!(matches!(
        engine.order(now, &load("three", two)),
        Err(OrderError::Fenced { .. })
    ));
}

#[test]
fn duplicate_order_takes_effect_once_and_is_listed_again() {
    let (mut engine, now) = (engine(FencingSupport::Ignores), Instant::now());
    let order = load("o1", FencingNumber::default());
    engine
        .order(now, &order)
        .expect("the engine accepts orders with any number");
    assert!(engine.report(now).settled.is_empty());
    let later = now + Duration::from_secs(1);
    engine
        .order(later, &order)
        .expect("the engine accepts orders with any number");
    let report = engine.report(later);
    assert_eq!((report.settled.len(), report.resident.len()), (1, 1));
    assert!(report.resident[0].is_ready);
}
