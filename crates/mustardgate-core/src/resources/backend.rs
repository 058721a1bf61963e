//! Specifications of backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, MemoryMib, RegionId, ServiceId};

/// Specification of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Address of the HTTP listener.
    pub address: SocketAddr,
    /// Role of the backend server.
    pub role: BackendRole,
    /// Accelerators; empty for a plain service.
    #[serde(default)]
    pub accelerators: Vec<AcceleratorSpec>,
    /// Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: FencingSupport,
    /// Maximum number of requests that run at once in one batch.
    #[serde(default = "default_max_concurrency")]
    pub max_concurrency: u32,
}

fn default_max_concurrency() -> u32 {
    32
}

/// Role of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendRole {
    /// Runs a model engine.
    Engine,
    /// Runs an instance of the named plain service.
    Plain(ServiceId),
}

/// One accelerator of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceleratorSpec {
    /// Memory for models and adapters.
    pub memory_mib: MemoryMib,
}

/// Whether an engine checks the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// The engine refuses an order whose fencing number is smaller than one it has seen.
    Refuses,
    /// The engine executes every order it receives, whatever its fencing number.
    #[default]
    Ignores,
}
