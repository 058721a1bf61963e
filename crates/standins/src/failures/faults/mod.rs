//! The faults that can be injected, one module each.

mod answers_lost;
mod backend_leaving;
mod cut_and_freeze;
mod domain_cut;
mod leader_frozen;
mod leader_killed;
mod node_frozen;
mod outage_and_kill;
mod planned_stop;
mod platform_down;
mod platform_slow;
mod racing_operators;

use std::fmt::Debug;

use async_trait::async_trait;

use super::{error::FailureError, testbed::FaultTestbed};
use crate::harness::ProxyMode;

/// A fault that can be injected into a deployment.
#[async_trait]
pub trait FaultScript: Debug + Send + Sync {
    /// Returns the name used on the command line and in `docs/PROOFS.md`.
    fn name(&self) -> &'static str;

    /// Injects the fault, keeps it active for some time, and ends it. The caller clears faults of the platform.
    ///
    /// # Errors
    /// [`FailureError`] when that is not possible, or when an expected effect does not occur.
    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError>;
}

/// Returns every fault in the order in which they run.
pub fn fault_scripts() -> Vec<Box<dyn FaultScript>> {
    vec![
        Box::new(leader_killed::LeaderKilled),
        Box::new(leader_frozen::LeaderFrozen),
        Box::new(domain_cut::DomainCut::new("domain-cut", ProxyMode::Cut)),
        Box::new(domain_cut::DomainCut::new(
            "domain-cut-one-way",
            ProxyMode::TowardsTarget,
        )),
        Box::new(node_frozen::NodeFrozen),
        Box::new(platform_down::PlatformDown),
        Box::new(platform_slow::PlatformSlow),
        Box::new(answers_lost::AnswersLost),
        Box::new(racing_operators::RacingOperators),
        Box::new(planned_stop::PlannedStop),
        Box::new(backend_leaving::BackendLeaving),
        Box::new(outage_and_kill::OutageAndKill),
        Box::new(cut_and_freeze::CutAndFreeze),
    ]
}
