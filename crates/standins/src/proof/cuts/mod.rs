//! Proof that a node which loses its link to all runners notices and serves through other nodes, and that failures of
//! runners are not taken for a cut.

mod simulation;

use self::simulation::CutSimulation;
use super::{GuaranteeViolation, GuardMode, ProofCount, ProofFigures, ProofScenario};

/// Checks first tries at nodes that are cut off.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutScenario;

impl ProofScenario for CutScenario {
    fn name(&self) -> &'static str {
        "cut-off-nodes"
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let mut simulation = CutSimulation::new(seed, guard);
        simulation.run();
        simulation.check_tries()?;
        simulation.check_alarms()?;
        let counts = simulation.counts.iter();
        Ok(ProofFigures {
            counts: counts.map(|(name, value)| ProofCount { name, value: *value }).collect(),
        })
    }
}
