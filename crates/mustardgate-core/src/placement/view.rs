//! What a placement policy sees and what it proposes.

use crate::{
    ids::{AcceleratorIndex, BackendId, MemoryMib},
    log::Artifact,
    resources::{PolicySpec, PriorityClass},
};

/// State of one failure domain as its leader knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainView {
    /// Runners of the failure domain, ordered by name.
    pub runners: Vec<RunnerView>,
    /// Every declared artifact that this domain may hold, ordered by artifact.
    pub demands: Vec<ArtifactDemand>,
    /// Prices and limits.
    pub policy: PolicySpec,
    /// Loads in flight in the whole domain, models only.
    pub model_loads_in_flight: u32,
    /// Adapter loads in flight in the whole domain.
    pub adapter_loads_in_flight: u32,
}

/// One runner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerView {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Whether the runner is leaving or suspected, so that it takes nothing new.
    pub is_leaving: bool,
    /// Requests that run at once in one batch at most.
    pub max_concurrency: u32,
    /// Accelerators by index.
    pub accelerators: Vec<AcceleratorView>,
}

/// One accelerator with what its memory is committed to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceleratorView {
    /// Memory in all.
    pub capacity_mib: MemoryMib,
    /// Weights that take memory now or may take it soon.
    pub holdings: Vec<Holding>,
}

impl AcceleratorView {
    /// Returns the memory that is not committed to anything.
    pub fn free_mib(&self) -> MemoryMib {
        let committed: MemoryMib = self.holdings.iter().map(|holding| holding.memory_mib).sum();
        self.capacity_mib.saturating_sub(committed)
    }
}

/// Weights that take memory of an accelerator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The weights.
    pub artifact: Artifact,
    /// Memory committed to them.
    pub memory_mib: MemoryMib,
    /// Whether they can answer.
    pub state: HoldingState,
}

/// State of weights in the memory of an accelerator. Every state counts against capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HoldingState {
    /// An order to load them may be under way.
    Reserved,
    /// They are resident and answer requests.
    Resident,
    /// An order to unload them may be under way.
    Leaving,
}

/// Demand for one artifact, and what was declared of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ArtifactDemand {
    /// The weights.
    pub artifact: Artifact,
    /// Memory they take.
    pub memory_mib: MemoryMib,
    /// Requests a second expected in this domain.
    pub requests_per_second: f64,
    /// Most urgent class that asks for them.
    pub priority: PriorityClass,
    /// Replicas that the deterministic base placement assigns to this domain, as runner and accelerator.
    pub base: Vec<BaseAssignment>,
}

/// A place that the base placement assigns to an artifact.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BaseAssignment {
    /// Runner that keeps the replica.
    pub backend: BackendId,
    /// Accelerator on it.
    pub accelerator: AcceleratorIndex,
}

/// A move that a policy proposes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PlannedMove {
    /// Load weights.
    Load {
        /// Runner to load them on.
        backend: BackendId,
        /// Accelerator on it.
        accelerator: AcceleratorIndex,
        /// The weights.
        artifact: Artifact,
        /// Memory they take.
        memory_mib: MemoryMib,
    },
    /// Unload weights.
    Unload {
        /// Runner to unload them from.
        backend: BackendId,
        /// Accelerator on it.
        accelerator: AcceleratorIndex,
        /// The weights.
        artifact: Artifact,
    },
}
