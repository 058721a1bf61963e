//! Configuration proofs on fixed seeds: each guarantee holds with its guard and is violated without it.

use mustardgate_standins::proof::{GuardMode, ProofScenario, scenarios};

/// Each scenario with a seed on which a guarantee is violated without the guard.
const VIOLATING_SEEDS: [(&str, u64); 6] = [
    ("config-version-check", 1),
    ("config-change-identifiers", 1),
    ("config-read-back", 1),
    ("config-gap-refusal", 8),
    ("config-forward-only", 1),
    ("config-load-state", 1),
];

fn scenario(name: &str) -> Box<dyn ProofScenario> {
    let mut found = scenarios().into_iter().filter(|scenario| scenario.name() == name);
    found.next().expect("the scenario is registered")
}

#[test]
fn configuration_guarantees_hold_with_all_guards() {
    for (name, _) in VIOLATING_SEEDS {
        for seed in 1..=3 {
            let figures = scenario(name).run(seed, GuardMode::Enforced);
            let figures = figures.unwrap_or_else(|violation| panic!("{name}, seed {seed}: {violation}"));
            let accepted = figures.counts.iter().find(|count| count.name == "told accepted");
            assert!(
                accepted.is_some_and(|count| count.value > 50),
                "{name}, seed {seed}: too few changes were accepted"
            );
        }
    }
}

#[test]
fn configuration_guarantees_are_violated_without_each_guard() {
    for (name, seed) in VIOLATING_SEEDS {
        let outcome = scenario(name).run(seed, GuardMode::Removed);
        assert!(outcome.is_err(), "{name}, seed {seed}: no guarantee was violated");
    }
}

#[test]
fn runs_with_the_same_seed_are_equal() {
    let scenario = scenario("config-read-back");
    assert_eq!(
        scenario.run(7, GuardMode::Enforced),
        scenario.run(7, GuardMode::Enforced)
    );
}
