//! What the modules of a node need, gathered in one place so that tests build one with fakes.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use mustardgate_core::{
    clock,
    ids::{BackendId, RequestId},
    log::Artifact,
    ports::{EngineControl, PlatformLog, VmList},
    retry::RetryBudget,
    routing::{AttemptOutcome, RouteTicket, RunnerSelector},
};
use slog::{Logger, o};

use crate::{
    backends::{AddressBook, EngineClient, PlainClient},
    configuration::ConfigDirectory,
    dispatch::AdmissionDesk,
    drain::DrainController,
    events,
    keys::KeyDesk,
    leader::LeadershipStatus,
    records::RecordTail,
    runners::{DemandCounter, RunnerReports, RunnerTable},
    settings::NodeSettings,
    vms::VmMembership,
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
    pub list: Arc<dyn VmList>,
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
    pub board: RunnerTable,
    /// What leaders tell of the runners.
    pub reports: RunnerReports,
    /// Choice of runners.
    pub selector: Arc<RunnerSelector>,
    /// Admission of requests.
    pub desk: AdmissionDesk,
    /// Demand by artifact.
    pub demand: DemandCounter,
    /// Keyed calls.
    pub keys: Arc<KeyDesk>,
    /// Follows leases, orders and keys in the log.
    pub tail: Arc<RecordTail>,
    /// The VMs of the deployment.
    pub vms: VmMembership,
    /// The leader role.
    pub leadership: LeadershipStatus,
    /// Retries that may still be made.
    pub budget: Mutex<RetryBudget>,
    /// Requests in flight and the course of a planned stop.
    pub drain: DrainController,
    /// Prefix and count of request identifiers.
    pub identifiers: RequestCounter,
}

impl NodeContext {
    /// Returns the address of a declared backend server.
    pub fn address_of(&self, backend: &BackendId) -> Option<SocketAddr> {
        self.addresses.read().expect("no holder panics").get(backend).copied()
    }

    /// Returns the budget of retries.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().expect("no holder panics")
    }

    /// Gives a place back with what the attempt has shown, and grants it to the next request that waits.
    pub fn complete_place(&self, ticket: RouteTicket, artifact: &Artifact, outcome: AttemptOutcome) {
        if let Err(error) = self.selector.complete(ticket, clock::now(), outcome) {
            events::ROUTING_INVARIANT.write(&self.logger, o!("error" => error.to_string()));
        }
        self.desk.pump(artifact);
    }
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
