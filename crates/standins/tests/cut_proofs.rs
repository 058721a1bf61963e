//! Randomised proofs of cut-off nodes and brittle runners on fixed seeds, with the guard and without it.

use mustardgate_standins::proof::{GuardMode, ProofScenario, scenarios};

const GUARDED_SEEDS: std::ops::RangeInclusive<u64> = 1..=12;

fn scenario(name: &str) -> Box<dyn ProofScenario> {
    let mut all = scenarios().into_iter();
    all.find(|scenario| scenario.name() == name)
        .expect("the scenario is registered")
}

fn assert_held(name: &str) {
    for seed in GUARDED_SEEDS {
        let outcome = scenario(name).run(seed, GuardMode::Enforced);
        assert!(outcome.is_ok(), "seed {seed}: {outcome:?}");
    }
}

#[test]
fn nodes_that_are_cut_off_serve_through_others_and_silent_runners_are_no_cut() {
    assert_held("cut-off-nodes");
}

#[test]
fn nodes_that_are_cut_off_fail_their_callers_when_they_only_send_themselves() {
    let violation = scenario("cut-off-nodes")
        .run(1, GuardMode::Removed)
        .expect_err("callers fail");
    assert_eq!(violation.guarantee, "a node that is cut off serves through other nodes");
}

#[test]
fn brittle_runners_stand_and_are_used() {
    assert_held("brittle-runners");
}

#[test]
fn brittle_runners_fall_over_when_nodes_send_what_comes() {
    let violation = scenario("brittle-runners")
        .run(1, GuardMode::Removed)
        .expect_err("runners fall over");
    assert_eq!(violation.guarantee, "brittle runners do not fall over");
}
