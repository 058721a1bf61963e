//! Settings of a leader, and the configuration of its failure domain.

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
    /// Age beyond which a report no longer shows that a replica is ready.
    pub report_freshness: Duration,
    /// Time between two appends of the domain, which bounds its share of the log.
    pub append_interval: Duration,
    /// Time after which open intents are logged again; well below the log's retention.
    pub checkpoint_interval: Duration,
}

/// The failure domain according to the configuration, the VM list and the demand.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainConfig {
    /// Runners of the failure domain.
    pub runners: Vec<RunnerConfig>,
    /// Every declared artifact that this domain may hold.
    pub demands: Vec<ArtifactDemand>,
    /// Artifacts that a runner of another failure domain is known to serve.
    pub served_elsewhere: BTreeSet<Artifact>,
    /// Prices, and the domain's shares of the weight store's limits.
    pub policy: PolicySpec,
}

/// One runner according to the configuration and the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerConfig {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Whether its engine refuses orders under an old fencing number.
    pub fencing: FencingSupport,
    /// Memory of each accelerator by index.
    pub accelerators: Vec<MemoryMib>,
    /// Maximum number of requests that run at once in one batch.
    pub max_concurrency: u32,
    /// Whether the backend server is leaving or not in the VM list, so that no new weights are loaded onto it.
    pub is_leaving: bool,
}

/// Authority under which a node leads its failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaderTenure {
    /// The node does not lead.
    #[default]
    Follower,
    /// The node holds the lease with the claim at this offset.
    Leased(Offset),
    /// The log is unavailable and the last lease has expired; only engines that refuse old fencing numbers are led.
    Succeeded,
}

impl LeaderTenure {
    /// Returns the smallest number to which a leader may raise an engine that reports `seen`, or `None` if the node
    /// does not lead or `seen` belongs to a newer lease.
    ///
    /// An engine accepts only a strictly greater number, so at most one raise to a given number succeeds at it.
    pub(super) fn next_fencing(self, seen: FencingNumber, address: u64) -> Option<FencingNumber> {
        match self {
            Self::Follower => None,
            Self::Succeeded => Some(seen.succeeded_by(address)),
            Self::Leased(claim) if seen.lease_offset > claim => None,
            // Offset 0 is a valid claim and an engine that was never raised reports zeros, so exceed `seen` here too.
            Self::Leased(claim) if seen.lease_offset == claim => Some(seen.succeeded_by(address)),
            Self::Leased(claim) => Some(FencingNumber {
                lease_offset: claim,
                succession: 0,
                address,
            }),
        }
    }
}
