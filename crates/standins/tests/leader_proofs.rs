//! Fixed seeds of the leader's randomised proofs, with the guard and without it.

use mustardgate_standins::proof::{GuardMode, ProofScenario, scenarios};

const HELD_SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

fn scenario(name: &str) -> Box<dyn ProofScenario> {
    let mut all = scenarios().into_iter();
    all.find(|scenario| scenario.name() == name)
        .expect("the scenario is registered")
}

fn assert_held(name: &str) {
    let scenario = scenario(name);
    for seed in HELD_SEEDS {
        let outcome = scenario.run(seed, GuardMode::Enforced);
        assert!(outcome.is_ok(), "{name} seed {seed}: {outcome:?}");
    }
}

fn assert_breaks(name: &str, seed: u64, guarantee: &str) {
    let violation = scenario(name)
        .run(seed, GuardMode::Removed)
        .expect_err("the guard is needed");
    assert_eq!(violation.guarantee, guarantee);
}

#[test]
fn fenced_engines_never_exceed_memory() {
    assert_held("memory-fenced-engines");
}

#[test]
fn fenced_engines_exceed_memory_without_fencing() {
    assert_breaks("memory-fenced-engines", 1, "no memory beyond capacity");
}

#[test]
fn logged_intents_never_exceed_memory() {
    assert_held("memory-logged-intents");
}

#[test]
fn logged_intents_exceed_memory_when_timeouts_settle_orders() {
    assert_breaks("memory-logged-intents", 16, "no memory beyond capacity");
}

#[test]
fn checkpoint_read_before_its_claim_leaves_no_runner_unled() {
    let outcome = scenario("memory-logged-intents").run(2851, GuardMode::Enforced);
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn mixed_engines_never_exceed_memory() {
    assert_held("memory-mixed-engines");
}

#[test]
fn mixed_engines_exceed_memory_when_orders_precede_intents() {
    assert_breaks("memory-mixed-engines", 1, "no memory beyond capacity");
}

#[test]
fn declared_models_keep_an_answering_replica() {
    assert_held("replica-keeps-answering");
}

#[test]
fn model_without_replica_finds_room_among_surplus_replicas() {
    let outcome = scenario("replica-keeps-answering").run(3900, GuardMode::Enforced);
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn declared_models_lose_their_last_replica_without_the_check() {
    assert_breaks(
        "replica-keeps-answering",
        1,
        "a declared model keeps an answering replica",
    );
}

#[test]
fn runs_repeat_for_a_seed() {
    let scenario = scenario("memory-mixed-engines");
    let first = scenario.run(3, GuardMode::Enforced);
    assert_eq!(first, scenario.run(3, GuardMode::Enforced));
}
