//! What a leader is told of itself and of its failure domain.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    ids::{BackendId, FencingNumber, MemoryMib, Offset},
    lease::LeaseSettings,
    log::Artifact,
    placement::ArtifactDemand,
    resources::{FencingSupport, PolicySpec},
};

/// Settings of the leader role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderSettings {
    /// Settings of the lease.
    pub lease: LeaseSettings,
    /// Packed address of the node's peer listener, the last component of its fencing numbers.
    pub address: u64,
    /// Time between two reads of a runner's report.
    pub read_interval: Duration,
    /// Time after which an unanswered read, raise or order is sent again.
    pub retry_interval: Duration,
    /// Age beyond which a report does not show that a replica answers.
    pub report_freshness: Duration,
    /// Time between two appends of the domain, which bounds its share of the log.
    pub append_interval: Duration,
    /// Time after which open intents are logged again; well below the log's retention.
    pub checkpoint_interval: Duration,
}

/// The failure domain as declared and listed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainConfig {
    /// Runners of the failure domain.
    pub runners: Vec<RunnerConfig>,
    /// Every declared artifact that this domain may hold.
    pub demands: Vec<ArtifactDemand>,
    /// Artifacts that another domain in reach answers for.
    pub answered_elsewhere: BTreeSet<Artifact>,
    /// Prices, and the domain's shares of the store's limits.
    pub policy: PolicySpec,
}

/// One runner as declared and listed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerConfig {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Whether its engine refuses orders under an old fencing number.
    pub fencing: FencingSupport,
    /// Memory of each accelerator by index.
    pub accelerators: Vec<MemoryMib>,
    /// Requests that run at once in one batch at most.
    pub max_concurrency: u32,
    /// Whether the backend server is marked as leaving or suspected, so that it takes nothing new.
    pub is_leaving: bool,
}

/// By what right a node leads its failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaderTenure {
    /// The node does not lead.
    #[default]
    Follower,
    /// The node holds the lease with the claim at this offset.
    Leased(Offset),
    /// The log is away and the last lease has run out; only engines that refuse old numbers are led.
    Succeeded,
}

impl LeaderTenure {
    /// Returns the smallest number to raise an engine to that reports `held`, or `None` when `held` is of a newer lease.
    ///
    /// The engine accepts only a strictly greater number, so at most one raise to a number succeeds at one engine.
    pub(super) fn number_above(self, held: FencingNumber, address: u64) -> Option<FencingNumber> {
        match self {
            Self::Follower => None,
            Self::Succeeded => Some(held.succeeded_by(address)),
            Self::Leased(claim) if held.lease_offset > claim => None,
            // Offset 0 is a real claim, while an engine that was never raised reports zeros: always above `held`.
            Self::Leased(claim) if held.lease_offset == claim => Some(held.succeeded_by(address)),
            Self::Leased(claim) => Some(FencingNumber {
                lease_offset: claim,
                succession: 0,
                address,
            }),
        }
    }
}
