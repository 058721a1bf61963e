//! Randomised proofs of the leader on fixed seeds, with the guard and without it.

use mustardgate_standins::proof::{GuardMode, ProofScenario, scenarios};

const GUARDED_SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

fn scenario(name: &str) -> Box<dyn ProofScenario> {
    let mut all = scenarios().into_iter();
    all.find(|scenario| scenario.name() == name)
        .expect("the scenario is registered")
}

fn assert_holds(name: &str) {
    let scenario = scenario(name);
    for seed in GUARDED_SEEDS {
        let outcome = scenario.run(seed, GuardMode::Enforced);
        assert!(outcome.is_ok(), "{name} seed {seed}: {outcome:?}");
    }
}

fn assert_violated(name: &str, seed: u64, guarantee: &str) {
    let violation = scenario(name)
        .run(seed, GuardMode::Removed)
        .expect_err("without the guard the guarantee is violated");
    assert_eq!(violation.guarantee, guarantee);
}

#[test]
fn fenced_engines_never_exceed_memory() {
    assert_holds("memory-fenced-engines");
}

#[test]
fn fenced_engines_exceed_memory_without_fencing() {
    assert_violated("memory-fenced-engines", 1, "no memory beyond capacity");
}

#[test]
fn logged_intents_never_exceed_memory() {
    assert_holds("memory-logged-intents");
}

#[test]
fn logged_intents_exceed_memory_when_timeouts_settle_orders() {
    assert_violated("memory-logged-intents", 16, "no memory beyond capacity");
}

#[test]
fn runners_are_led_after_a_checkpoint_is_read_before_its_claim() {
    let outcome = scenario("memory-logged-intents").run(2851, GuardMode::Enforced);
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn mixed_engines_never_exceed_memory() {
    assert_holds("memory-mixed-engines");
}

#[test]
fn mixed_engines_exceed_memory_when_orders_precede_intents() {
    assert_violated("memory-mixed-engines", 1, "no memory beyond capacity");
}

#[test]
fn declared_models_keep_an_answering_replica() {
    assert_holds("replica-keeps-answering");
}

#[test]
fn surplus_replicas_are_unloaded_for_a_model_without_replica() {
    let outcome = scenario("replica-keeps-answering").run(3900, GuardMode::Enforced);
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn declared_models_lose_their_last_replica_without_the_check() {
    assert_violated(
        "replica-keeps-answering",
        1,
        "a declared model keeps an answering replica",
    );
}

#[test]
fn runs_with_the_same_seed_are_equal() {
    let scenario = scenario("memory-mixed-engines");
    let first = scenario.run(3, GuardMode::Enforced);
    assert_eq!(first, scenario.run(3, GuardMode::Enforced));
}
