//! Randomised proofs of the guarantees that must always hold.
//!
//! Each guarantee is checked by a scenario registered in [`scenarios`]. For one seed, a scenario runs the production
//! decision code against stand-ins and compares what the stand-ins really did with what was reported. See
//! `docs/PROOFS.md`.

mod at_most_once;
mod brittle;
mod cadence;
mod config_checks;
mod config_cluster;
mod config_log;
mod config_node;
mod config_scenarios;
mod crashing;
mod cuts;
mod domain;
mod keyed;
mod leaving;
mod limits;
mod memory;
mod replicas;
mod seeds;
mod told_not_run;
mod versions;
mod whole_answers;

use std::fmt::Debug;

use snafu::Snafu;

pub use self::seeds::{ProofOptions, ProofSummary, run_seeds};
use self::{config_node::ConfigGuard, config_scenarios::ConfigScenario};

/// Whether the guard that a scenario tests is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardMode {
    /// The decision code as shipped.
    Enforced,
    /// A test-only policy without the guard, to show that the scenario can fail.
    Removed,
}

/// A guarantee that was violated.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{guarantee}: {detail}"))]
pub struct GuaranteeViolation {
    /// Guarantee that was violated.
    pub guarantee: &'static str,
    /// What was observed.
    pub detail: String,
}

/// Counts of one run of a scenario, which show that the faults really occurred.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProofFigures {
    /// Named counts, such as faults injected and requests checked.
    pub counts: Vec<ProofCount>,
}

/// One named count.
#[derive(Clone, Debug, PartialEq)]
pub struct ProofCount {
    /// What is counted.
    pub name: &'static str,
    /// How often it occurred.
    pub value: u64,
}

/// One randomised proof.
pub trait ProofScenario: Debug + Send + Sync {
    /// Returns the name used on the command line and in `docs/PROOFS.md`.
    fn name(&self) -> &'static str;

    /// Runs the scenario for one seed; the same seed gives the same run.
    ///
    /// # Errors
    /// The first guarantee that was violated.
    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation>;
}

/// Every scenario, in the order of the guarantees in `docs/PROOFS.md`.
pub fn scenarios() -> Vec<Box<dyn ProofScenario>> {
    vec![
        Box::new(memory::MemoryScenario::FencedEngines),
        Box::new(memory::MemoryScenario::LoggedIntents),
        Box::new(memory::MemoryScenario::MixedEngines),
        Box::new(replicas::ReplicaScenario),
        Box::new(at_most_once::AtMostOnceScenario),
        Box::new(told_not_run::ToldNotRunScenario),
        Box::new(whole_answers::WholeAnswersScenario),
        Box::new(leaving::LeavingScenario),
        Box::new(limits::LimitScenario),
        Box::new(crashing::CrashScenario),
        Box::new(versions::VersionScenario),
        Box::new(cuts::CutScenario),
        Box::new(brittle::BrittleScenario),
        Box::new(ConfigScenario::new(ConfigGuard::VersionCheck)),
        Box::new(ConfigScenario::new(ConfigGuard::ChangeIdentifiers)),
        Box::new(ConfigScenario::new(ConfigGuard::ReadBack)),
        Box::new(ConfigScenario::new(ConfigGuard::GapRefusal)),
        Box::new(ConfigScenario::new(ConfigGuard::ForwardOnly)),
        Box::new(ConfigScenario::new(ConfigGuard::LoadState)),
    ]
}
