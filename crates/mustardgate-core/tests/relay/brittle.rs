//! Services whose runners fall over when they turn too many requests away.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::BackendId,
    relay::{BrittleLedger, BrittleStatement, deal_places},
};
use proptest::{
    prelude::{ProptestConfig, prop_assert_eq, proptest},
    test_runner::RngSeed,
};

const MESSAGE_TIME: Duration = Duration::from_millis(800);

fn runners(count: usize, slots: u32) -> BTreeMap<BackendId, u32> {
    (0..count)
        .map(|number| (format!("engine-{number:02}").into(), slots))
        .collect()
}

fn nodes(count: u8) -> BTreeSet<SocketAddr> {
    (0..count)
        .map(|number| SocketAddr::from(([10, 0, 0, number], 80)))
        .collect()
}

#[test]
fn the_places_of_all_nodes_together_leave_room_at_every_runner() {
    for (runner_count, slots, node_count) in [(3, 6, 7), (4, 6, 9), (18, 64, 7), (13, 6, 59), (1, 1, 1), (2, 2, 2)] {
        let (runners, nodes) = (runners(runner_count, slots), nodes(node_count));
        let dealt: Vec<_> = nodes.iter().map(|node| deal_places(&runners, &nodes, *node)).collect();
        for id in runners.keys() {
            let places: u32 = dealt.iter().map(|places| places[id]).sum();
            assert!(places <= slots.saturating_sub(1).max(1), "{places} of {slots} slots");
        }
        let totals: Vec<u32> = dealt.iter().map(|places| places.values().sum()).collect();
        let (least, most) = (totals.iter().min().unwrap(), totals.iter().max().unwrap());
        assert!(*least >= 1 && most - least <= 1, "{totals:?}");
    }
}

#[test]
fn a_node_without_a_place_gets_one_where_there_are_more_nodes_than_places() {
    let (runners, nodes) = (runners(3, 6), nodes(77));
    let totals = nodes
        .iter()
        .map(|node| deal_places(&runners, &nodes, *node).values().sum::<u32>());
    assert!(totals.into_iter().all(|total| total == 1));
    let stranger = SocketAddr::from(([10, 9, 9, 9], 80));
    assert!(
        deal_places(&runners, &nodes, stranger)
            .values()
            .all(|places| *places == 0)
    );
}

// Guards against a node that is busy for minutes with one entry whose slots are the largest number.
#[test]
fn an_entry_with_huge_slots_does_not_hold_up_the_dealing_of_places() {
    let mut runners = runners(3, 6);
    runners.insert("odd-1".into(), u32::MAX);
    runners.insert("odd-2".into(), u32::MAX);
    runners.insert("odd-3".into(), 0);
    for node_count in [1, 2, 7] {
        let nodes = nodes(node_count);
        let dealt: Vec<_> = nodes.iter().map(|node| deal_places(&runners, &nodes, *node)).collect();
        for (id, slots) in &runners {
            let places: u64 = dealt.iter().map(|places| u64::from(places[id])).sum();
            let most = u64::from(slots.saturating_sub(1).max(1));
            assert_eq!(places, most, "{id} with {node_count} nodes");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(29), ..ProptestConfig::default() })]

    #[test]
    fn places_are_dealt_one_by_one_in_turn(
        slots in proptest::collection::vec(0_u32..70, 1..20),
        node_count in 1_u8..30,
        own in 0_u8..30,
    ) {
        let runners: BTreeMap<BackendId, u32> = slots
            .iter()
            .enumerate()
            .map(|(number, slots)| (format!("engine-{number:02}").into(), *slots))
            .collect();
        let (nodes, own) = (nodes(node_count), own % node_count);
        let mut expected: BTreeMap<BackendId, u32> = runners.keys().map(|id| (id.clone(), 0)).collect();
        let usable = |slots: u32| slots.saturating_sub(1).max(1);
        let places = (0..70).flat_map(|round| runners.iter().filter(move |(_, slots)| round < usable(**slots)));
        for (id, _) in places.skip(usize::from(own)).step_by(usize::from(node_count)) {
            *expected.get_mut(id).unwrap() += 1;
        }
        if expected.values().all(|places| *places == 0) {
            *expected.values_mut().nth(usize::from(own) % runners.len()).unwrap() = 1;
        }
        let dealt = deal_places(&runners, &nodes, SocketAddr::from(([10, 0, 0, own], 80)));
        prop_assert_eq!(dealt, expected);
    }
}

#[test]
fn a_service_is_brittle_until_a_later_answer_does_not_say_so() {
    let start = Instant::now();
    let service = "orders".into();
    let second = Duration::from_secs(1);
    let mut ledger = BrittleLedger::default();
    assert!(!ledger.observe(&service, BrittleStatement::Unreadable, start));
    assert!(ledger.observe(&service, BrittleStatement::Brittle(2.0), start + second));
    // An answer to an earlier request arrives late.
    assert!(!ledger.observe(&service, BrittleStatement::Sturdy, start));
    assert!(!ledger.observe(&service, BrittleStatement::Unreadable, start + second * 2));
    assert!(ledger.is_brittle(start + second * 2, &service));
    assert!(!ledger.is_brittle(start + second * 2, &"assist".into()));
    assert!(ledger.observe(&service, BrittleStatement::Sturdy, start + second * 3));
    assert!(!ledger.is_brittle(start + second * 3, &service));
    // Without any answer a statement does not count for ever.
    ledger.observe(&service, BrittleStatement::Brittle(2.0), start + second * 4);
    assert!(!ledger.is_brittle(start + second * 40, &service));
}

#[test]
fn other_nodes_learn_of_a_brittle_service_and_an_old_message_does_not_bring_it_back() {
    let now = Instant::now() + Duration::from_secs(100);
    let service = "orders".into();
    let mut told = BrittleLedger::default();
    told.observe(&service, BrittleStatement::Brittle(2.0), now);
    let mut ledger = BrittleLedger::default();
    let message = told.services(now);
    ledger.merge(now, &message, MESSAGE_TIME);
    assert!(ledger.is_brittle(now, &service));
    let later = now + Duration::from_secs(2);
    ledger.observe(&service, BrittleStatement::Sturdy, later);
    ledger.merge(later, &message, MESSAGE_TIME);
    // The message would name a time before the end; a node that knows the end has to stay with it.
    assert!(!ledger.is_brittle(later, &service));
}
