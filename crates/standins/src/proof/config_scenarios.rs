//! Proofs that the configuration never reverts, one for each guard that holds it.

use super::{
    GuardMode, PromiseViolation, ProofFigures, ProofScenario, config_cluster::ConfigCluster, config_node::ConfigGuard,
};

/// One guard of the configuration, proved under all faults together.
#[derive(Debug)]
pub struct ConfigScenario {
    name: &'static str,
    guard: ConfigGuard,
}

impl ProofScenario for ConfigScenario {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, PromiseViolation> {
        let removed = (guard == GuardMode::Removed).then_some(self.guard);
        ConfigCluster::new(seed, self.guard as u64, removed).run()
    }
}

/// Lists the scenarios of the configuration.
pub fn config_scenarios() -> Vec<Box<dyn ProofScenario>> {
    let guards = [
        ("config-version-check", ConfigGuard::VersionCheck),
        ("config-change-identifiers", ConfigGuard::ChangeIdentifiers),
        ("config-read-back", ConfigGuard::ReadBack),
        ("config-gap-refusal", ConfigGuard::GapRefusal),
        ("config-forward-only", ConfigGuard::ForwardOnly),
        ("config-load-state", ConfigGuard::LoadState),
    ];
    let scenarios = guards.into_iter().map(|(name, guard)| ConfigScenario { name, guard });
    scenarios
        .map(|scenario| Box::new(scenario) as Box<dyn ProofScenario>)
        .collect()
}
