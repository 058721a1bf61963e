//! Randomised proof of requests that crash runners on fixed seeds, with the guard and without it.

use mustardgate_standins::proof::{GuardMode, ProofScenario, scenarios};

const GUARDED_SEEDS: std::ops::RangeInclusive<u64> = 1..=12;

fn scenario() -> Box<dyn ProofScenario> {
    let mut all = scenarios().into_iter();
    all.find(|scenario| scenario.name() == "crashing-inputs")
        .expect("the scenario is registered")
}

#[test]
fn a_request_that_crashes_runners_is_sent_no_more_and_sound_ones_go_on() {
    for seed in GUARDED_SEEDS {
        let outcome = scenario().run(seed, GuardMode::Enforced);
        assert!(outcome.is_ok(), "seed {seed}: {outcome:?}");
    }
}

#[test]
fn a_request_that_crashes_runners_is_sent_on_when_no_crash_is_recorded() {
    let violation = scenario().run(1, GuardMode::Removed).expect_err("it is sent on");
    assert_eq!(violation.guarantee, "a request that crashes runners is sent no more");
}
