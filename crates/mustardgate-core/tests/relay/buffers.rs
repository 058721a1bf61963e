//! The limit on the bytes that are buffered from all sources together.

use std::collections::{BTreeMap, BTreeSet};

use mustardgate_core::buffers::{BufferLedger, BufferLimits, BufferSource, HolderId};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

/// Total, of which control calls have a quarter to themselves.
const TOTAL_BYTES: usize = 1_333;
/// Room for requests and answers together.
const SHARED_BYTES: usize = 1_000;
/// Largest body of a lone request.
const LARGEST_BODY_BYTES: usize = TOTAL_BYTES / 2 + TOTAL_BYTES / 8;
/// Room for callers' connections.
const CONNECTION_BYTES: usize = 200;
/// Room for control calls.
const CONTROL_BYTES: usize = 333;

fn ledger() -> BufferLedger {
    BufferLedger::new(BufferLimits {
        total_bytes: TOTAL_BYTES,
        connection_bytes: CONNECTION_BYTES,
    })
}

fn runner(number: usize) -> BufferSource {
    BufferSource::Runner(format!("runner-{number}").into())
}

fn log() -> BufferSource {
    BufferSource::Server(([127, 0, 0, 1], 1).into())
}

#[test]
fn the_runner_that_holds_most_loses_its_largest_answer() {
    let mut ledger = ledger();
    assert_eq!(ledger.reserve(1, &runner(1), 300), Some(vec![]));
    assert_eq!(ledger.reserve(2, &runner(1), 400), Some(vec![]));
    assert_eq!(ledger.reserve(3, &runner(2), 200), Some(vec![]));
    assert_eq!(ledger.reserve(3, &runner(2), 200), Some(vec![2]));
    assert_eq!(ledger.bytes_of(&runner(1)), 300);
    assert_eq!(ledger.total_bytes(), 700);
}

#[test]
fn an_answer_of_the_runner_that_holds_most_ends_itself() {
    let mut ledger = ledger();
    ledger.reserve(1, &runner(1), 600);
    ledger.reserve(2, &runner(2), 300);
    assert_eq!(ledger.reserve(1, &runner(1), 200), None);
    assert_eq!(ledger.reserve(3, &runner(1), 200), None);
    assert_eq!(ledger.total_bytes(), 900);
}

#[test]
fn requests_take_room_from_answers_within_their_share() {
    let mut ledger = ledger();
    ledger.reserve(1, &runner(1), 900);
    assert_eq!(ledger.reserve(2, &BufferSource::Callers, 400), Some(vec![1]));
    assert_eq!(ledger.reserve(3, &BufferSource::Callers, 300), None);
    assert_eq!(ledger.reserve(4, &runner(1), 600), Some(vec![]));
    assert_eq!(ledger.reserve(4, &runner(1), 100), None);
    assert_eq!(ledger.bytes_of(&BufferSource::Callers), 400);
}

// Guards against callers that read slowly and so keep the node from the log.
#[test]
fn answers_on_their_way_to_callers_leave_room_for_control_calls() {
    let mut ledger = ledger();
    for holder in 1..=5 {
        assert_eq!(ledger.reserve(holder, &runner(1), SHARED_BYTES / 5), Some(vec![]));
        ledger.settle(holder);
    }
    assert_eq!(ledger.reserve(6, &runner(2), 1), None);
    assert_eq!(ledger.reserve(7, &log(), 200), Some(vec![]));
    assert_eq!(ledger.reserve(8, &BufferSource::Nodes, 100), Some(vec![]));
    assert_eq!(ledger.reserve(9, &log(), 100), None);
}

#[test]
fn bytes_that_a_holder_gives_back_are_free_for_others() {
    let mut ledger = ledger();
    ledger.reserve(1, &runner(1), 900);
    ledger.shrink(1, 700);
    assert_eq!(ledger.bytes_of(&runner(1)), 200);
    assert_eq!(ledger.reserve(2, &runner(2), 800), Some(vec![]));
}

#[test]
fn an_answer_that_is_on_its_way_to_the_caller_is_not_ended() {
    let mut ledger = ledger();
    ledger.reserve(1, &runner(1), 900);
    ledger.settle(1);
    assert_eq!(ledger.reserve(2, &runner(2), 200), None);
    ledger.release(1);
    assert_eq!(ledger.reserve(2, &runner(2), 200), Some(vec![]));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(43), ..ProptestConfig::default() })]
    #[test]
    fn the_total_holds_and_nobody_loses_to_a_runner_that_holds_more(
        steps in vec((0_usize..6, 0_u64..12, 1_usize..200, 0_u8..5), 1..300),
    ) {
        let mut ledger = ledger();
        let mut held: BTreeMap<HolderId, (BufferSource, usize)> = BTreeMap::new();
        let (mut ended_before, mut settled) = (BTreeSet::new(), BTreeSet::new());
        for (number, (source, holder, bytes, action)) in steps.into_iter().enumerate() {
            // A holder has one source, and one that was ended does not come back.
            let holder = holder * 6 + source as u64;
            if action == 0 {
                ledger.settle(holder);
                settled.extend(held.contains_key(&holder).then_some(holder));
                continue;
            }
            if action < 3 || ended_before.contains(&holder) {
                settled.remove(&holder);
                ledger.release(holder);
                held.remove(&holder);
                ended_before.remove(&holder);
                continue;
            }
            let source = match source {
                0 => BufferSource::Callers,
                1 => log(),
                number => runner(number),
            };
            let sum = |held: &BTreeMap<HolderId, (BufferSource, usize)>, of: &BufferSource| -> usize {
                held.values().filter(|(other, _)| other == of).map(|(_, bytes)| *bytes).sum()
            };
            let own_bytes = sum(&held, &source) + bytes;
            let is_control = source == log();
            let Some(ended) = ledger.reserve(holder, &source, bytes) else {
                prop_assert!(!is_control || own_bytes > CONTROL_BYTES, "step {number}");
                continue;
            };
            for id in ended {
                prop_assert!(!settled.contains(&id));
                let (loser, _) = &held[&id];
                // Of the requests only one that is not whole and exceeds the share of all ends.
                let is_oversized = *loser == BufferSource::Callers && held[&id].1 > TOTAL_BYTES / 2;
                prop_assert!(matches!(loser, BufferSource::Runner(_)) || is_oversized);
                let is_greedier = sum(&held, loser) > own_bytes;
                prop_assert!(is_greedier || is_oversized || !matches!(source, BufferSource::Runner(_)), "step {number}");
                held.remove(&id);
                ended_before.insert(id);
            }
            held.entry(holder).or_insert((source.clone(), 0)).1 += bytes;
            let total: usize = held.values().map(|(_, bytes)| *bytes).sum();
            prop_assert_eq!(ledger.total_bytes(), total);
            prop_assert!(total - sum(&held, &log()) <= SHARED_BYTES);
            prop_assert!(sum(&held, &log()) <= CONTROL_BYTES);
            let requests = held.values().filter(|(of, _)| *of == BufferSource::Callers);
            let largest = requests.map(|(_, bytes)| *bytes).max().unwrap_or_default();
            let of_requests = sum(&held, &BufferSource::Callers);
            let is_lone = of_requests - largest <= TOTAL_BYTES / 8 && of_requests <= TOTAL_BYTES / 2 + TOTAL_BYTES / 8;
            prop_assert!(of_requests <= TOTAL_BYTES / 2 || is_lone);
        }
    }
}

// Guards against bodies that the configuration allows and the node never serves.
#[test]
fn a_lone_request_may_take_what_nobody_else_holds() {
    let mut ledger = ledger();
    assert_eq!(
        ledger.reserve(1, &BufferSource::Callers, LARGEST_BODY_BYTES),
        Some(vec![])
    );
    assert_eq!(ledger.reserve(1, &BufferSource::Callers, 1), None);
    ledger.release(1);
    ledger.reserve(2, &runner(1), 300);
    assert_eq!(ledger.reserve(1, &BufferSource::Callers, LARGEST_BODY_BYTES), None);
    assert_eq!(ledger.bytes_of(&runner(1)), 300);
}

// Guards against one large body that keeps others from the node.
#[test]
fn a_request_beyond_the_share_of_all_ends_for_others_until_it_is_whole() {
    let mut ledger = ledger();
    ledger.reserve(1, &BufferSource::Callers, 700);
    assert_eq!(ledger.reserve(2, &BufferSource::Callers, 100), Some(vec![]));
    assert_eq!(ledger.reserve(3, &BufferSource::Callers, 100), Some(vec![1]));
    assert_eq!(ledger.bytes_of(&BufferSource::Callers), 200);
    ledger.release(2);
    ledger.release(3);
    ledger.reserve(4, &BufferSource::Callers, 700);
    assert_eq!(ledger.reserve(5, &runner(1), 400), Some(vec![4]));
    ledger.release(5);
    ledger.reserve(6, &BufferSource::Callers, 700);
    ledger.settle(6);
    assert_eq!(ledger.reserve(7, &runner(1), 400), None);
    assert_eq!(ledger.reserve(8, &BufferSource::Callers, 300), None);
}

// Guards against crowds of bodies none of which ever becomes whole.
#[test]
fn a_request_takes_the_room_of_those_with_more_bytes_to_come() {
    let mut ledger = ledger();
    let source = BufferSource::Callers;
    for holder in 1..=4 {
        let left = 100 * holder as usize;
        assert_eq!(ledger.reserve_towards(holder, &source, 150, left), Some(vec![]));
    }
    assert_eq!(ledger.reserve_towards(5, &source, 150, 400), None);
    assert_eq!(ledger.reserve_towards(5, &source, 150, 250), Some(vec![4]));
    assert_eq!(ledger.reserve_towards(1, &source, 100, 10), Some(vec![3]));
    ledger.record_left(2, 0);
    assert_eq!(ledger.reserve_towards(1, &source, 200, 0), Some(vec![5]));
    ledger.settle(2);
    assert_eq!(ledger.reserve_towards(6, &source, 300, 0), None);
    assert_eq!(ledger.bytes_of(&source), 600);
}

// Guards against connections that take the room of requests and answers, or are refused because those hold theirs.
#[test]
fn connections_have_a_share_of_their_own() {
    let mut ledger = ledger();
    assert_eq!(ledger.connection_capacity(50), 4);
    assert_eq!(ledger.reserve(1, &runner(1), SHARED_BYTES), Some(vec![]));
    for holder in 2..6 {
        assert_eq!(ledger.reserve(holder, &BufferSource::Connections, 50), Some(vec![]));
    }
    assert_eq!(ledger.reserve(6, &BufferSource::Connections, 50), None);
    ledger.release(1);
    assert_eq!(ledger.reserve(7, &runner(2), SHARED_BYTES), Some(vec![]));
    assert_eq!(ledger.reserve(8, &log(), CONTROL_BYTES), Some(vec![]));
    ledger.release(2);
    assert_eq!(ledger.reserve(9, &BufferSource::Connections, 50), Some(vec![]));
}

#[test]
fn room_for_requests_is_short_once_they_hold_more_than_half_of_theirs() {
    let mut ledger = ledger();
    ledger.reserve(1, &BufferSource::Callers, TOTAL_BYTES / 4);
    assert!(!ledger.is_short_for_requests());
    ledger.reserve(2, &BufferSource::Callers, 1);
    assert!(ledger.is_short_for_requests());
    ledger.release(1);
    assert!(!ledger.is_short_for_requests());
}
