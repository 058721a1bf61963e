//! State and services shared by the modules of a node, in one type so that tests can build it with fakes.

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
    buffers::BufferBudget,
    configuration::ConfigDirectory,
    dispatch::AdmissionController,
    drain::DrainController,
    events,
    keys::KeyCoordinator,
    leader::LeadershipStatus,
    records::RecordTail,
    runners::{DemandCounter, RunnerReports, RunnerTable},
    settings::NodeSettings,
    vms::VmMembership,
};

/// State and services shared by the modules of a node.
#[derive(Debug)]
pub struct NodeContext {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Root logger.
    pub logger: Logger,
    /// Budget of the bytes that are held until they form a whole.
    pub buffers: Arc<BufferBudget>,
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// The platform's list of VMs.
    pub vm_list: Arc<dyn VmList>,
    /// Controls engines: fencing numbers, orders and reports.
    pub engines: Arc<dyn EngineControl>,
    /// Sends generations to engines.
    pub engine_client: EngineClient,
    /// Sends calls to plain services.
    pub plain_client: PlainClient,
    /// Addresses of backend servers.
    pub addresses: AddressBook,
    /// The configuration in force.
    pub directory: ConfigDirectory,
    /// Last known state of each runner.
    pub runners: RunnerTable,
    /// Runner reports received from leaders, or published by this node while it leads its failure domain.
    pub reports: RunnerReports,
    /// Chooses runners for requests.
    pub selector: Arc<RunnerSelector>,
    /// Admits requests and queues them until a slot is free.
    pub admission: AdmissionController,
    /// Counts the demand for each artifact.
    pub demand: DemandCounter,
    /// Decides on calls with an idempotency key.
    pub keys: Arc<KeyCoordinator>,
    /// Follows leases, orders and keys in the log.
    pub tail: Arc<RecordTail>,
    /// The VMs of the deployment.
    pub vms: VmMembership,
    /// The leader role.
    pub leadership: LeadershipStatus,
    /// Retries that may still be made.
    pub budget: Mutex<RetryBudget>,
    /// Requests in flight and the state of a planned stop.
    pub drain: DrainController,
    /// Generates request identifiers.
    pub identifiers: IdGenerator,
}

impl NodeContext {
    /// Returns the address of a declared backend server.
    pub fn address_of(&self, backend: &BackendId) -> Option<SocketAddr> {
        self.addresses.read().expect("no holder panics").get(backend).copied()
    }

    /// Locks and returns the retry budget.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().expect("no holder panics")
    }

    /// Records the outcome of an attempt, releases its slot and grants free slots to waiting requests.
    pub fn complete_attempt(&self, ticket: RouteTicket, artifact: &Artifact, outcome: AttemptOutcome) {
        if let Err(error) = self.selector.complete(ticket, clock::now(), outcome) {
            events::ROUTING_INVARIANT.write(&self.logger, o!("error" => error.to_string()));
        }
        self.admission.grant_free_slots(artifact);
    }
}

/// Generates request identifiers that no other node and no earlier process of this node generates.
#[derive(Debug)]
pub struct IdGenerator {
    prefix: String,
    next: AtomicU64,
}

impl IdGenerator {
    /// Creates a generator whose identifiers begin with the node's name and `incarnation`, a random number drawn when
    /// the process starts.
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
