//! The limit on the bytes that are buffered from all sources together.

use std::collections::{BTreeMap, BTreeSet};

use mustardgate_core::buffers::{BufferLedger, BufferLimits, BufferSource, HolderId};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

const TOTAL_BYTES: usize = 1_000;

fn ledger() -> BufferLedger {
    BufferLedger::new(BufferLimits {
        total_bytes: TOTAL_BYTES,
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
fn requests_and_control_calls_take_room_from_answers_within_their_share() {
    for source in [BufferSource::Callers, log()] {
        let mut ledger = ledger();
        ledger.reserve(1, &runner(1), 900);
        assert_eq!(ledger.reserve(2, &source, 400), Some(vec![1]), "{source}");
        assert_eq!(ledger.reserve(3, &source, 200), None, "{source}");
        assert_eq!(ledger.reserve(4, &runner(1), 600), Some(vec![]), "{source}");
        assert_eq!(ledger.reserve(4, &runner(1), 100), None, "{source}");
        assert_eq!(ledger.bytes_of(&source), 400, "{source}");
    }
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
        steps in vec((0_usize..6, 0_u64..12, 1_usize..200, any::<bool>()), 1..300),
    ) {
        let mut ledger = ledger();
        let mut held: BTreeMap<HolderId, (BufferSource, usize)> = BTreeMap::new();
        let mut ended_before = BTreeSet::new();
        for (number, (source, holder, bytes, is_release)) in steps.into_iter().enumerate() {
            // A holder has one source, and one that was ended does not come back.
            let holder = holder * 6 + source as u64;
            if is_release || ended_before.contains(&holder) {
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
            let Some(ended) = ledger.reserve(holder, &source, bytes) else { continue };
            for id in ended {
                let (loser, _) = &held[&id];
                prop_assert!(matches!(loser, BufferSource::Runner(_)));
                let is_greedier = sum(&held, loser) > own_bytes;
                prop_assert!(is_greedier || !matches!(source, BufferSource::Runner(_)), "step {number}");
                held.remove(&id);
                ended_before.insert(id);
            }
            held.entry(holder).or_insert((source.clone(), 0)).1 += bytes;
            let total: usize = held.values().map(|(_, bytes)| *bytes).sum();
            prop_assert_eq!(ledger.total_bytes(), total);
            prop_assert!(total <= TOTAL_BYTES);
            prop_assert!(sum(&held, &BufferSource::Callers) <= TOTAL_BYTES / 2);
        }
    }
}
