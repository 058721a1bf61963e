//! Status of a node and of the resources that it serves, as reported to operators.

use mustardgate_core::ids::{BackendId, DomainId, FencingNumber, NodeId, Offset, RegionId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How far a specification is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResourceStatus {
    /// Generation that the node acts on.
    pub observed_generation: u64,
    /// Conditions, such as `Ready`.
    pub conditions: Vec<ResourceCondition>,
}

/// One aspect of a resource's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceCondition {
    /// Name of the condition, such as `Ready`.
    pub name: SmolStr,
    /// Whether it holds.
    pub holds: bool,
    /// Reason as one word in camel case.
    pub reason: SmolStr,
    /// Human-readable explanation.
    #[serde(default)]
    pub message: String,
}

/// State of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeId,
    /// Failure domain of the node.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Whether the node takes callers' requests.
    pub is_ready: bool,
    /// Whether the node is stopping.
    pub is_draining: bool,
    /// Why the node is not ready; empty when it is.
    pub not_ready_reasons: Vec<SmolStr>,
    /// Offset up to which the configuration was read.
    pub config_offset: Offset,
    /// Caller requests in flight at this node.
    pub in_flight: u64,
    /// Invariant violations counted since the start; anything but 0 is a bug.
    pub invariant_violations: u64,
    /// Failure domains as the node sees them.
    pub domains: Vec<DomainStatus>,
    /// Backend servers as the node sees them.
    pub backends: Vec<BackendStatus>,
}

/// One failure domain as a node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DomainStatus {
    /// Name of the failure domain.
    pub domain: DomainId,
    /// Node that holds the lease, if known.
    pub leader: Option<NodeId>,
    /// Fencing number of the leader, if known.
    pub fencing: Option<FencingNumber>,
}

/// One backend server as a node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BackendStatus {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Whether new work may be sent to it.
    pub is_eligible: bool,
    /// Requests in flight from this node.
    pub in_flight: u32,
    /// Names of the weights that are ready for requests, each as `model[+adapter]@version`.
    pub resident: Vec<SmolStr>,
}
