//! Randomised proofs of what must always hold.
//!
//! Each promise is one scenario module of the same shape, registered in [`scenarios`]. A scenario runs the real
//! decisions against stand-ins for one seed and judges from the outside: from what the stand-ins really did, against
//! what was told. See `docs/PROOFS.md`.

mod at_most_once;
mod config_cluster;
mod config_judge;
mod config_node;
mod config_scenarios;
mod config_world;
mod domain;
mod keyed;
mod leaving;
mod memory;
mod replicas;
mod runner;
mod told_not_run;
mod whole_answers;

use std::fmt::Debug;

use snafu::Snafu;

pub use self::runner::{ProofOptions, ProofSummary, run_all};
use self::{config_node::ConfigGuard, config_scenarios::ConfigScenario};

/// Whether the guard that a scenario proves is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardMode {
    /// The product's decisions as they ship.
    Enforced,
    /// The guard replaced by a test-only policy that lacks it, to show that the scenario can fail.
    Removed,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{promise}: {detail}"))]
pub struct PromiseViolation {
    /// Promise that was broken.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

/// What one run of a scenario counted, to show that the faults really came about.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProofFigures {
    /// Named counts, such as faults injected and requests judged.
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
    /// The first promise that was broken.
    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, PromiseViolation>;
}

/// Every scenario, in the order of the promises in `docs/PROOFS.md`.
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
        Box::new(ConfigScenario::new(ConfigGuard::VersionCheck)),
        Box::new(ConfigScenario::new(ConfigGuard::ChangeIdentifiers)),
        Box::new(ConfigScenario::new(ConfigGuard::ReadBack)),
        Box::new(ConfigScenario::new(ConfigGuard::GapRefusal)),
        Box::new(ConfigScenario::new(ConfigGuard::ForwardOnly)),
        Box::new(ConfigScenario::new(ConfigGuard::LoadState)),
    ]
}
