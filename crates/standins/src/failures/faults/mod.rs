//! The faults, one module each.

mod domain_cut;
mod leader_frozen;
mod leader_killed;

use std::fmt::Debug;

use async_trait::async_trait;

use super::{bench::FailureBench, error::FailureError};
use crate::harness::RelayMode;

/// One fault.
#[async_trait]
pub trait FaultScript: Debug + Send + Sync {
    /// Returns the name used on the command line and in `docs/PROOFS.md`.
    fn name(&self) -> &'static str;

    /// Brings the fault about, keeps it up for a while, and ends it.
    ///
    /// # Errors
    /// [`FailureError`] when that is not possible, or when something did not come about that must.
    async fn inject(&self, bench: &mut FailureBench) -> Result<(), FailureError>;
}

/// Every fault, in the order in which they run.
pub fn fault_scripts() -> Vec<Box<dyn FaultScript>> {
    vec![
        Box::new(leader_killed::LeaderKilled),
        Box::new(leader_frozen::LeaderFrozen),
        Box::new(domain_cut::DomainCut::new("domain-cut", RelayMode::Cut)),
        Box::new(domain_cut::DomainCut::new(
            "domain-cut-one-way",
            RelayMode::TowardsTarget,
        )),
    ]
}
