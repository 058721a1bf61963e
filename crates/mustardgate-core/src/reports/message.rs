//! Frames and catalogues of runners' reports.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendId, DomainId, NodeId},
    log::Artifact,
    ports::EngineReport,
};

/// Requests that a node counted for each artifact since it last told its leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The node.
    pub node: NodeId,
    /// Requests by artifact.
    pub counts: Vec<(Artifact, u64)>,
}

/// What other nodes need of an engine's report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerState {
    /// Weights that the runner answers for.
    pub ready: BTreeSet<Artifact>,
    /// Requests in the running batch and waiting.
    pub outstanding: u32,
}

impl RunnerState {
    /// Takes the state from a report.
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
    /// Leader whose numbering it is.
    pub leader: NodeId,
    /// Number that the leader drew when its tenure began.
    pub session: u64,
    /// Changes of what is ready since then.
    pub version: u64,
    /// The runners.
    pub runners: Vec<(BackendId, RunnerState)>,
}

/// What changed at the runners of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportFrame {
    /// The failure domain.
    pub domain: DomainId,
    /// Leader that the frame comes from.
    pub leader: NodeId,
    /// Number that the leader drew when its tenure began.
    pub session: u64,
    /// Node that sent this copy, which has the catalogue.
    pub sender: NodeId,
    /// Version that the changes apply to.
    pub base: u64,
    /// Version after them.
    pub version: u64,
    /// Changes of what is ready.
    pub changes: Vec<ReadyChange>,
    /// Indexes of runners whose load changed, with their outstanding requests.
    pub loads: Vec<(u16, u32)>,
}

/// Change of what is ready on one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyChange {
    /// Index of the runner.
    pub index: u16,
    /// Name of the runner when the index is new.
    pub backend: Option<BackendId>,
    /// Weights that it answers for now.
    pub added: Vec<Artifact>,
    /// Weights that it no longer answers for.
    pub removed: Vec<Artifact>,
}
