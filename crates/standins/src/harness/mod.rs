//! Starts a deployment of real processes on loopback, injects faults into it, and cleans up after itself.
//!
//! Signals go to own children only, each by its process id, and only before the child was waited for.

mod binaries;
mod child;
mod cluster;
mod node;
mod proxy;
mod scratch;
mod usage;

pub use self::{
    binaries::BinarySet,
    child::{ChildProcess, HarnessError},
    cluster::{BackendKind, BackendOptions, ClusterOptions, DomainOptions, RunningBackend, TestCluster},
    node::{NodeAddresses, RunningNode},
    proxy::{FaultProxy, ProxyMode},
    scratch::{ScratchFolder, free_address},
    usage::ProcessUsage,
};
