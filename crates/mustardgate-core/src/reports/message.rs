//! Messages between nodes about the runners of a failure domain.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendId, DomainId, NodeId},
    log::Artifact,
    ports::EngineReport,
};

/// Requests for each artifact that a node counted since its last report to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Node that counted them.
    pub node: NodeId,
    /// Requests by artifact.
    pub counts: Vec<(Artifact, u64)>,
}

/// The part of an engine's report that other nodes need.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerState {
    /// Weights that the runner serves.
    pub ready: BTreeSet<Artifact>,
    /// Requests in the running batch and waiting.
    pub outstanding: u32,
}

impl RunnerState {
    /// Extracts the state from a report.
    pub fn from_report(report: &EngineReport) -> Self {
        let ready = report.resident.iter().filter(|resident| resident.is_ready);
        Self {
            ready: ready.map(|resident| resident.artifact.clone()).collect(),
            outstanding: report.running + report.waiting,
        }
    }
}

/// All runners of a failure domain, in the order of the indexes that frames use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCatalogue {
    /// The failure domain.
    pub domain: DomainId,
    /// Leader that assigned the indexes.
    pub leader: NodeId,
    /// Number that the leader drew when its tenure began.
    pub session: u64,
    /// Version of the ready weights: 0 when the tenure began, and one more with every frame that changes them.
    pub version: u64,
    /// The runners.
    pub runners: Vec<(BackendId, RunnerState)>,
}

/// Changes of the runners of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportFrame {
    /// The failure domain.
    pub domain: DomainId,
    /// Leader that the frame comes from.
    pub leader: NodeId,
    /// Number that the leader drew when its tenure began.
    pub session: u64,
    /// Node that sent this copy, from which the catalogue may be requested.
    pub sender: NodeId,
    /// Version that the changes apply to.
    pub base: u64,
    /// Version after the changes.
    pub version: u64,
    /// Changes of the ready weights.
    pub changes: Vec<ReadyChange>,
    /// Outstanding requests of the runners whose load changed, by index.
    pub loads: Vec<(u16, u32)>,
}

/// Change of the ready weights of one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyChange {
    /// Index of the runner.
    pub index: u16,
    /// Name of the runner if the index is new.
    pub backend: Option<BackendId>,
    /// Weights that became ready.
    pub added: Vec<Artifact>,
    /// Weights that are no longer ready.
    pub removed: Vec<Artifact>,
}
