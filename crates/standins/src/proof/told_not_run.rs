//! Proof that a key reported to a caller as "not run" is run by no delivery, neither before nor after the report.

use super::{
    GuaranteeViolation, GuardMode, ProofFigures, ProofScenario,
    keyed::{KeyPolicy, KeyedSimulation},
};

/// Compares the verdicts reported to callers on a key with what the service ran, over the lifetime of the key.
#[derive(Debug)]
pub struct ToldNotRunScenario;

impl ProofScenario for ToldNotRunScenario {
    fn name(&self) -> &'static str {
        "told-not-run"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let policy = KeyPolicy {
            awaits_replay: true,
            reports_key_verdict: guard == GuardMode::Enforced,
        };
        let simulation = KeyedSimulation::run(seed, policy);
        if let Some(id) = simulation.false_not_run() {
            return Err(GuaranteeViolation {
                guarantee: "a key reported as not run was not run",
                detail: format!("a caller was told that {id} was not run, but the service ran it"),
            });
        }
        if let Some(id) = simulation.false_ran() {
            return Err(GuaranteeViolation {
                guarantee: "a key reported as run was run",
                detail: format!("a caller was told that {id} ran, but the service did not run it"),
            });
        }
        Ok(simulation.figures())
    }
}
