//! Proof that a stream goes on only at the software version that began it, whichever nodes and runners end, and that
//! callers who come back are served.

mod callers;
mod log;
mod node;
mod simulation;

use self::simulation::VersionSimulation;
use super::{GuaranteeViolation, GuardMode, ProofCount, ProofFigures, ProofScenario};

/// Checks the versions of streams that break and go on.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionScenario;

impl ProofScenario for VersionScenario {
    fn name(&self) -> &'static str {
        "stream-versions"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let mut simulation = VersionSimulation::new(seed, guard);
        simulation.run();
        simulation.check_versions()?;
        simulation.check_returns()?;
        simulation.check_rejoined()?;
        let counts = simulation.counts.iter();
        Ok(ProofFigures {
            counts: counts.map(|(name, value)| ProofCount { name, value: *value }).collect(),
        })
    }
}
