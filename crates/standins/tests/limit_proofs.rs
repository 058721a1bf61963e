//! Randomised proof of rate limits on fixed seeds, with the guard and without it.

use mustardgate_standins::proof::{GuardMode, ProofScenario, scenarios};

const GUARDED_SEEDS: std::ops::RangeInclusive<u64> = 1..=12;

fn scenario() -> Box<dyn ProofScenario> {
    let mut all = scenarios().into_iter();
    all.find(|scenario| scenario.name() == "rate-limits")
        .expect("the scenario is registered")
}

#[test]
fn a_rate_limit_binds_all_nodes_together_and_does_not_starve_the_runner() {
    for seed in GUARDED_SEEDS {
        let outcome = scenario().run(seed, GuardMode::Enforced);
        assert!(outcome.is_ok(), "seed {seed}: {outcome:?}");
    }
}

#[test]
fn a_rate_limit_is_exceeded_when_each_node_keeps_it_for_itself() {
    let violation = scenario()
        .run(1, GuardMode::Removed)
        .expect_err("the limit is exceeded");
    assert_eq!(violation.guarantee, "a rate limit binds all nodes together");
}
