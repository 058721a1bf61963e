//! Proof that a key of which a caller hears "not run" was not run, by any delivery, before or after.

use super::{
    GuaranteeViolation, GuardMode, ProofFigures, ProofScenario,
    keyed::{KeyPolicy, KeyedSimulation},
};

/// What callers heard about a key against what the service ran, over the whole life of the key.
#[derive(Debug)]
pub struct ToldNotRunScenario;

impl ProofScenario for ToldNotRunScenario {
    fn name(&self) -> &'static str {
        "told-not-run"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let policy = KeyPolicy {
            awaits_replay: true,
            tells_key_verdict: guard == GuardMode::Enforced,
        };
        let simulation = KeyedSimulation::run(seed, policy);
        if let Some(id) = simulation.false_not_run() {
            return Err(GuaranteeViolation {
                guarantee: "told not run, was not run",
                detail: format!("a caller heard that {id} was not run, and the service ran it"),
            });
        }
        if let Some(id) = simulation.false_ran() {
            return Err(GuaranteeViolation {
                guarantee: "told ran, ran",
                detail: format!("a caller heard that {id} ran, and the service did not run it"),
            });
        }
        Ok(simulation.figures())
    }
}
