//! What the modules of a relay node need, gathered in one place so that tests build one with fakes.

mod budgets;
mod demand;
mod observations;
mod records;
mod routes;

use std::sync::Arc;

use mustardgate::drain::DrainController;
use mustardgate_core::{
    ports::TopicLog,
    relay::{AdmissionGate, RetryAdvisor},
};

pub use self::{
    budgets::BudgetBoard,
    demand::{AdapterUse, DemandBoard, DemandDigest},
    observations::ObservationBoard,
    records::RecordShelf,
    routes::{ActiveRoutes, RouteBoard},
};
use crate::{
    fleet::RunnerFleet,
    leader::SharedLeadership,
    peers::{PeerClient, PeerDirectory},
    ports::{CallDialect, RecordDecoder, RunnerControl},
    request_log::RequestLog,
    settings::RelaySettings,
};

/// The platform's side of a node.
#[derive(Clone, Debug)]
pub struct PlatformPorts {
    /// Marks of requests and answers.
    pub dialect: Arc<dyn CallDialect>,
    /// Meaning of records.
    pub decoder: Arc<dyn RecordDecoder>,
    /// The log; a node's context has neighbours stand in while it cannot be reached.
    pub topics: Arc<dyn TopicLog>,
    /// Orders to runners.
    pub control: Arc<dyn RunnerControl>,
}

/// What the modules of a relay node need.
#[derive(Debug)]
pub struct RelayContext {
    /// Settings of the node.
    pub settings: RelaySettings,
    /// The platform.
    pub ports: PlatformPorts,
    /// Log lines.
    pub log: RequestLog,
    /// Configuration in force.
    pub routes: RouteBoard,
    /// Runners.
    pub fleet: RunnerFleet,
    /// Newest records as read, for neighbours that start while the log is away.
    pub records: RecordShelf,
    /// What the leader saw of runners while their entries could not be read.
    pub observations: ObservationBoard,
    /// Shares of the retry budget.
    pub budgets: BudgetBoard,
    /// Demand by model.
    pub demand: DemandBoard,
    /// Orders, while this node leads.
    pub leader: SharedLeadership,
    /// Calls to other nodes.
    pub peers: PeerClient,
    /// Addresses of other nodes.
    pub directory: Arc<PeerDirectory>,
    /// The log as this node reaches it itself.
    pub direct_log: Arc<dyn TopicLog>,
    /// Which requests are refused under load.
    pub gate: AdmissionGate,
    /// When refused callers come back.
    pub advisor: RetryAdvisor,
    /// Requests in flight and the course of a planned stop.
    pub drain: DrainController,
}

impl RelayContext {
    /// Returns whether the node wants new connections.
    pub fn is_ready(&self) -> bool {
        !self.drain.is_draining() && self.routes.current().is_some() && self.fleet.has_runner()
    }
}
