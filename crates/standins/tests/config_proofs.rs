//! Fixed seeds of the configuration proofs: each holds with its guard and breaks without it.

use mustardgate_standins::proof::{GuardMode, ProofScenario, scenarios};

/// Each scenario with a seed that breaks it without its guard.
const BREAKING_SEEDS: [(&str, u64); 6] = [
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
fn configuration_holds_with_its_guards() {
    for (name, _) in BREAKING_SEEDS {
        for seed in 1..=3 {
            let figures = scenario(name).run(seed, GuardMode::Enforced);
            let figures = figures.unwrap_or_else(|violation| panic!("{name}, seed {seed}: {violation}"));
            let accepted = figures.counts.iter().find(|count| count.name == "told accepted");
            assert!(
                accepted.is_some_and(|count| count.value > 50),
                "{name}, seed {seed}: too little happened"
            );
        }
    }
}

#[test]
fn configuration_breaks_without_each_guard() {
    for (name, seed) in BREAKING_SEEDS {
        let outcome = scenario(name).run(seed, GuardMode::Removed);
        assert!(outcome.is_err(), "{name}, seed {seed}: nothing broke");
    }
}

#[test]
fn run_repeats_itself_for_a_seed() {
    let scenario = scenario("config-read-back");
    assert_eq!(
        scenario.run(7, GuardMode::Enforced),
        scenario.run(7, GuardMode::Enforced)
    );
}
