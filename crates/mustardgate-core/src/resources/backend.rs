//! Backend servers as operators declare them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, MemoryMib, RegionId, ServiceId};

/// Specification of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    /// Failure domain the VM stands in.
    pub domain: DomainId,
    /// Region the failure domain belongs to.
    pub region: RegionId,
    /// Address of the HTTP listener.
    pub address: SocketAddr,
    /// What the backend server does.
    pub role: BackendRole,
    /// Accelerators; empty for a plain service.
    #[serde(default)]
    pub accelerators: Vec<AcceleratorSpec>,
    /// Whether orders under an old fencing number are refused.
    #[serde(default)]
    pub fencing: FencingSupport,
    /// Requests that run at once in one batch at most.
    #[serde(default = "default_max_concurrency")]
    pub max_concurrency: u32,
}

fn default_max_concurrency() -> u32 {
    32
}

/// What a backend server does.
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

/// Whether an engine checks who gives it an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// The engine refuses an order whose fencing number is smaller than one it has seen.
    Refuses,
    /// The engine obeys every order it receives, whoever sent it.
    #[default]
    Ignores,
}
