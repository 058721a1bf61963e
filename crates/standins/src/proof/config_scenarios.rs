//! Proofs that the configuration never reverts, one for each guard that ensures this.

use super::{
    GuaranteeViolation, GuardMode, ProofFigures, ProofScenario, config_cluster::ConfigCluster, config_node::ConfigGuard,
};

/// One guard of the configuration, tested under all faults together.
#[derive(Debug)]
pub(super) struct ConfigScenario {
    guard: ConfigGuard,
}

impl ConfigScenario {
    pub(super) fn new(guard: ConfigGuard) -> Self {
        Self { guard }
    }
}

impl ProofScenario for ConfigScenario {
    fn name(&self) -> &'static str {
        match self.guard {
            ConfigGuard::VersionCheck => "config-version-check",
            ConfigGuard::ChangeIdentifiers => "config-change-identifiers",
            ConfigGuard::ReadBack => "config-read-back",
            ConfigGuard::GapRefusal => "config-gap-refusal",
            ConfigGuard::ForwardOnly => "config-forward-only",
            ConfigGuard::LoadState => "config-load-state",
        }
    }

    fn run(&self, seed: u64, guard: GuardMode) -> Result<ProofFigures, GuaranteeViolation> {
        let removed_guard = (guard == GuardMode::Removed).then_some(self.guard);
        ConfigCluster::new(seed, self.guard as u64, removed_guard).run()
    }
}
