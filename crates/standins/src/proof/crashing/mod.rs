//! Proof that a request under which every runner crashes soon reaches runners no more, whoever leads and whoever is cut
//! off, and that sound requests beside it go on.

mod messages;
mod node;
mod simulation;

use self::simulation::CrashSimulation;
use super::{GuaranteeViolation, GuardMode, ProofCount, ProofFigures, ProofScenario};

/// Checks the sends of a crashing request and the answers to sound ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashScenario;

impl ProofScenario for CrashScenario {
    fn name(&self) -> &'static str {
        "crashing-inputs"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let mut simulation = CrashSimulation::new(seed, guard);
        simulation.run();
        simulation.check_sends()?;
        simulation.check_sound()?;
        let counts = simulation.counts.iter();
        Ok(ProofFigures {
            counts: counts.map(|(name, value)| ProofCount { name, value: *value }).collect(),
        })
    }
}
