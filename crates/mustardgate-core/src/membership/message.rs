//! Messages between nodes about membership.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, DomainId, NodeId};

/// Shows that a node is alive, and lists the backend servers that it knows to be leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeHeartbeat {
    /// Sender.
    pub node: NodeId,
    /// Number that grows with each heartbeat of the sender's process.
    pub sequence: u64,
    /// Backend servers that the sender knows to be leaving.
    pub leaving: Vec<LeavingMark>,
}

/// State of one failure domain that one of its nodes sends to other ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainDigest {
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Node that sent it.
    pub speaker: NodeId,
    /// Nodes of the failure domain that the sender does not suspect.
    pub unsuspected: Vec<NodeId>,
    /// Backend servers of any failure domain that the sender knows to be leaving.
    pub leaving: Vec<LeavingMark>,
}

/// A backend server that some list showed as leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMark {
    /// The backend server.
    pub backend: BackendId,
    /// Its address, which tells it from a successor with the same name.
    pub address: SocketAddr,
    /// Time in milliseconds since a list last showed it as leaving.
    pub age_ms: u64,
}
