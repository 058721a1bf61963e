//! Proof that brittle runners do not fall over, whatever bursts come to nodes that differ on who is there.

mod simulation;

use self::simulation::BrittleSimulation;
use super::{GuaranteeViolation, GuardMode, ProofCount, ProofFigures, ProofScenario};

/// Checks how often brittle runners fall over, and that they are used.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrittleScenario;

impl ProofScenario for BrittleScenario {
    fn name(&self) -> &'static str {
        "brittle-runners"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let mut simulation = BrittleSimulation::new(seed, guard);
        simulation.run();
        simulation.check_falls()?;
        simulation.check_use()?;
        let counts = simulation.counts.iter();
        Ok(ProofFigures {
            counts: counts.map(|(name, value)| ProofCount { name, value: *value }).collect(),
        })
    }
}
