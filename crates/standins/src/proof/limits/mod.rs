//! Proof that a runner's rate limit binds all nodes together, whoever leads and whoever is cut off, and that a limited
//! runner is not starved.

mod node;
mod simulation;

use self::simulation::LimitSimulation;
use super::{GuaranteeViolation, GuardMode, ProofCount, ProofFigures, ProofScenario};

/// Checks the arrivals at limited runners.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitScenario;

impl ProofScenario for LimitScenario {
    fn name(&self) -> &'static str {
        "rate-limits"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let mut simulation = LimitSimulation::new(seed, guard);
        simulation.run();
        simulation.check_limits()?;
        simulation.check_use()?;
        let counts = simulation.counts();
        Ok(ProofFigures {
            counts: counts.map(|(name, value)| ProofCount { name, value }).collect(),
        })
    }
}
