//! Starts a deployment of real processes on loopback addresses, injects faults into it, and removes it afterwards.
//!
//! Signals are sent only to child processes of the harness, by process id, and never after the child has been reaped.

mod binaries;
mod child;
mod cluster;
mod memory;
mod narrow_link;
mod node;
mod proxy;
mod scratch;
mod source_proxy;
mod thin_link;
mod usage;

pub use self::{
    binaries::BinarySet,
    child::{ChildProcess, HarnessError},
    cluster::{BackendKind, BackendOptions, ClusterOptions, DomainOptions, RunningBackend, TestCluster},
    memory::{MemoryPeak, MemoryWatch},
    narrow_link::{LinkSide, NarrowLink},
    node::{NodeAddresses, RunningNode},
    proxy::{FaultProxy, ProxyMode},
    scratch::{ScratchDirectory, free_address},
    source_proxy::{CutLook, LinkCuts, SourceProxy},
    thin_link::ThinLink,
    usage::ProcessUsage,
};
