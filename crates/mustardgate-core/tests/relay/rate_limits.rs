//! Rate limits that runners state: what answers and other nodes tell, in any order.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::RunnerProcess,
    relay::{LimitLedger, LimitStatement},
};

const STEP: Duration = Duration::from_millis(100);
/// Longest time that a message between nodes is under way.
const DELAY: Duration = Duration::from_millis(800);

fn process(started_at_ms: u64) -> RunnerProcess {
    ("engine-1".into(), started_at_ms)
}

#[test]
fn a_limit_lasts_until_a_request_sent_after_it_is_answered_without_one() {
    let start = Instant::now();
    let mut ledger = LimitLedger::default();
    ledger.observe(start + STEP, &process(1), LimitStatement::PerSecond(1.9), start);
    assert_eq!(ledger.rate(&process(1)), Some(1.9));
    // These were sent before the limit was known, so the runner may have answered them before it had one.
    for sent_at in [start, start + STEP] {
        ledger.observe(start + STEP * 3, &process(1), LimitStatement::Unlimited, sent_at);
        assert_eq!(ledger.rate(&process(1)), Some(1.9));
    }
    ledger.observe(
        start + STEP * 4,
        &process(1),
        LimitStatement::Unreadable,
        start + STEP * 2,
    );
    assert_eq!(ledger.rate(&process(1)), Some(1.9));
    ledger.observe(
        start + STEP * 5,
        &process(1),
        LimitStatement::Unlimited,
        start + STEP * 2,
    );
    assert_eq!(ledger.rate(&process(1)), None);
    ledger.observe(start + STEP * 6, &process(1), LimitStatement::PerSecond(0.5), start);
    assert_eq!(ledger.rate(&process(1)), Some(0.5));
}

#[test]
fn a_limit_belongs_to_the_process_and_a_huge_one_does_not_bind() {
    let start = Instant::now();
    let mut ledger = LimitLedger::default();
    ledger.observe(start, &process(1), LimitStatement::PerSecond(0.0), start);
    ledger.observe(start, &process(3), LimitStatement::PerSecond(1e300), start);
    assert_eq!(ledger.rate(&process(1)), Some(0.0));
    assert_eq!(ledger.rate(&process(2)), None);
    assert_eq!(ledger.rate(&process(3)), None);
    ledger.retain(|process| process.1 > 1);
    assert_eq!(ledger.rate(&process(1)), None);
}

#[test]
fn nodes_that_got_no_answer_learn_a_limit_and_its_end_from_those_that_did() {
    let start = Instant::now();
    let (mut witness, mut leader, mut other) = (LimitLedger::default(), LimitLedger::default(), LimitLedger::default());
    let mut pass_on = |now: Instant, witness: &LimitLedger| {
        leader.merge(now, &witness.own_observations(now), DELAY);
        other.merge(now + STEP, &leader.all_observations(now), DELAY);
        other.rate(&process(1))
    };
    witness.observe(start, &process(1), LimitStatement::PerSecond(1.2), start);
    assert_eq!(pass_on(start + STEP, &witness), Some(1.2));
    // A message that took long must not make an end look later than the limit that followed it.
    witness.observe(
        start + STEP * 3,
        &process(1),
        LimitStatement::Unlimited,
        start + STEP * 2,
    );
    assert_eq!(pass_on(start + STEP * 4, &witness), Some(1.2));
    let later = start + DELAY * 3;
    witness.observe(later + STEP, &process(1), LimitStatement::Unlimited, later);
    assert_eq!(pass_on(later + STEP, &witness), None);
}

#[test]
fn an_end_with_an_impossible_age_does_not_end_a_limit() {
    let start = Instant::now();
    let mut ledger = LimitLedger::default();
    ledger.observe(start, &process(1), LimitStatement::PerSecond(1.2), start);
    let mut observed = ledger.own_observations(start);
    observed[0].stated = None;
    observed[0].unlimited = Some(Duration::MAX);
    ledger.merge(start + DELAY * 2, &observed, DELAY);
    assert_eq!(ledger.rate(&process(1)), Some(1.2));
}

#[test]
fn what_a_node_only_heard_is_not_reported_as_its_own() {
    let start = Instant::now();
    let (mut witness, mut other) = (LimitLedger::default(), LimitLedger::default());
    witness.observe(start, &process(1), LimitStatement::PerSecond(1.2), start);
    other.merge(start, &witness.own_observations(start), DELAY);
    assert!(other.own_observations(start).is_empty());
    assert_eq!(other.all_observations(start).len(), 1);
}
