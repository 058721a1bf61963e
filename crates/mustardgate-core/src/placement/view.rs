//! Input and output of a placement policy: the state of a failure domain and the proposed moves.

use crate::{
    ids::{AcceleratorIndex, BackendId, MemoryMib},
    log::Artifact,
    resources::{PolicySpec, PriorityClass},
};

/// State of one failure domain, as known to its leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainView {
    /// Runners of the failure domain, ordered by name.
    pub runners: Vec<RunnerView>,
    /// Demand for every declared artifact that this domain may hold, ordered by artifact.
    pub demands: Vec<ArtifactDemand>,
    /// Price of a move and limits on loads.
    pub policy: PolicySpec,
    /// Model loads in flight in the whole domain.
    pub model_loads_in_flight: u32,
    /// Adapter loads in flight in the whole domain.
    pub adapter_loads_in_flight: u32,
}

/// State of one runner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerView {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Whether the runner is shutting down, suspected to have failed or otherwise unusable, so that it gets no new
    /// loads.
    pub is_unschedulable: bool,
    /// Capacity of the runner: the gain policy takes it as the maximum number of requests in one batch, the share policy
    /// as requests a second.
    pub request_capacity: u32,
    /// Requests a second that the runner takes at most, if it states a limit. Only the share policy uses it.
    pub request_limit: Option<f64>,
    /// Accelerators, by index.
    pub accelerators: Vec<AcceleratorView>,
}

/// Memory of one accelerator and the weights that it is committed to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceleratorView {
    /// Total memory for weights.
    pub capacity_mib: MemoryMib,
    /// Weights that occupy memory now or may do so soon.
    pub holdings: Vec<Holding>,
}

impl RunnerView {
    /// Returns whether the runner takes `requests_per_second` as far as its limit is concerned.
    pub fn takes(&self, requests_per_second: f64) -> bool {
        self.request_limit.is_none_or(|limit| requests_per_second <= limit)
    }
}

impl AcceleratorView {
    /// Returns the uncommitted memory.
    pub fn free_mib(&self) -> MemoryMib {
        let committed: MemoryMib = self.holdings.iter().map(|holding| holding.memory_mib).sum();
        self.capacity_mib.saturating_sub(committed)
    }
}

/// Weights that accelerator memory is committed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The weights.
    pub artifact: Artifact,
    /// Memory committed to the weights.
    pub memory_mib: MemoryMib,
    /// Whether the weights are loading, ready or unloading.
    pub state: HoldingState,
}

/// State of weights in accelerator memory. The memory counts as committed in every state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HoldingState {
    /// A load order may be in progress.
    Reserved,
    /// The weights are loaded and serve requests.
    Resident,
    /// An unload order may be in progress, or the runner reports the weights as not ready without an open order.
    Unloading,
}

/// Demand for one artifact, and its declared properties.
#[derive(Clone, Debug, PartialEq)]
pub struct ArtifactDemand {
    /// The weights.
    pub artifact: Artifact,
    /// Memory they take.
    pub memory_mib: MemoryMib,
    /// Forecast requests a second in this domain.
    pub requests_per_second: f64,
    /// Most urgent priority class of the services that use the weights.
    pub priority: PriorityClass,
    /// Accelerators in this domain to which the deterministic base placement assigns a replica.
    pub base_assignments: Vec<BaseAssignment>,
}

/// Accelerator to which the base placement assigns a replica of an artifact.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BaseAssignment {
    /// Runner of the accelerator.
    pub backend: BackendId,
    /// Index of the accelerator on the runner.
    pub accelerator: AcceleratorIndex,
}

/// A move that a policy proposes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PlannedMove {
    /// Load weights.
    Load {
        /// Runner to load the weights on.
        backend: BackendId,
        /// Index of the accelerator on the runner.
        accelerator: AcceleratorIndex,
        /// The weights.
        artifact: Artifact,
        /// Memory they take.
        memory_mib: MemoryMib,
    },
    /// Unload weights.
    Unload {
        /// Runner to unload the weights from.
        backend: BackendId,
        /// Index of the accelerator on the runner.
        accelerator: AcceleratorIndex,
        /// The weights.
        artifact: Artifact,
    },
}
