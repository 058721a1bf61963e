//! Proof that a non-idempotent request with a key runs at most once under every injected fault.

use super::{
    GuaranteeViolation, GuardMode, ProofFigures, ProofScenario,
    keyed::{KeyPolicy, KeyedSimulation},
};

/// Duplicate deliveries through several nodes, with freezes between the claim record and the dispatch, killed nodes,
/// outages of the log, and lost responses.
#[derive(Debug)]
pub struct AtMostOnceScenario;

impl ProofScenario for AtMostOnceScenario {
    fn name(&self) -> &'static str {
        "at-most-once"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let policy = KeyPolicy {
            awaits_replay: guard == GuardMode::Enforced,
            reports_key_verdict: true,
        };
        let simulation = KeyedSimulation::run(seed, policy);
        if let Some((id, runs)) = simulation.repeated_runs().first() {
            return Err(GuaranteeViolation {
                guarantee: "runs at most once",
                detail: format!("the service ran {id} {runs} times"),
            });
        }
        if simulation.violations() > 0 {
            return Err(GuaranteeViolation {
                guarantee: "runs at most once",
                detail: format!(
                    "nodes refused {} steps that would violate an invariant",
                    simulation.violations()
                ),
            });
        }
        Ok(simulation.figures())
    }
}
