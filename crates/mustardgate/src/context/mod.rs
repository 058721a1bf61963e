//! What the modules of a node need, gathered in one place so that tests build one with fakes.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use mustardgate_core::{
    ids::RequestId,
    ports::{EngineControl, LiveList, PlatformLog},
};
use slog::Logger;

use crate::{
    backends::{AddressBook, EngineClient, PlainClient},
    configuration::ConfigDirectory,
    drain::DrainController,
    runners::RunnerBoard,
    settings::NodeSettings,
};

/// What the modules of a node need.
#[derive(Debug)]
pub struct NodeContext {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Root logger.
    pub logger: Logger,
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// The platform's list of VMs.
    pub list: Arc<dyn LiveList>,
    /// Control of engines.
    pub engines: Arc<dyn EngineControl>,
    /// Generation at engines.
    pub engine_client: EngineClient,
    /// Calls to plain services.
    pub plain_client: PlainClient,
    /// Addresses of backend servers.
    pub addresses: AddressBook,
    /// The configuration in force.
    pub directory: ConfigDirectory,
    /// Reports of runners.
    pub board: RunnerBoard,
    /// Requests in flight and the course of a planned stop.
    pub drain: DrainController,
    /// Prefix and count of request identifiers.
    pub identifiers: RequestCounter,
}

/// Gives out request identifiers that no other node, and no earlier process of this node, gives out.
#[derive(Debug)]
pub struct RequestCounter {
    prefix: String,
    next: AtomicU64,
}

impl RequestCounter {
    /// Creates a counter whose identifiers begin with the node's name and a number drawn at its start.
    pub fn new(node: &str, incarnation: u64) -> Self {
        Self {
            prefix: format!("{node}-{incarnation:x}"),
            next: AtomicU64::new(1),
        }
    }

    /// Returns the next identifier.
    pub fn next(&self) -> RequestId {
        format!("{}-{}", self.prefix, self.next.fetch_add(1, Ordering::Relaxed)).into()
    }
}
