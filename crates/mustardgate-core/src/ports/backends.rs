//! Control of model engines: orders, fencing numbers and load reports.

use std::fmt::Debug;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    ids::{AcceleratorIndex, BackendId, FencingNumber, MemoryMib, OrderId},
    log::{Artifact, OrderAction},
};

/// Control of model engines.
#[async_trait]
pub trait EngineControl: Debug + Send + Sync {
    /// Raises the fencing number stored by the engine; it then refuses orders with smaller numbers.
    ///
    /// # Errors
    /// [`OrderError::Fenced`] when the engine has already seen an equal or larger number.
    async fn raise_fencing(&self, backend: &BackendId, fencing: FencingNumber) -> Result<EngineReport, OrderError>;

    /// Sends one order; success means that the engine accepted it, not that it has finished.
    ///
    /// # Errors
    /// [`OrderError`], which tells whether the order may have been or may still be executed.
    async fn send_order(&self, backend: &BackendId, order: EngineOrder) -> Result<(), OrderError>;

    /// Reads the engine's report of load and resident weights.
    ///
    /// # Errors
    /// [`OrderError::Unknown`] when the engine did not answer.
    async fn report(&self, backend: &BackendId) -> Result<EngineReport, OrderError>;
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Identifier; an engine executes an order that it receives twice only once.
    pub order: OrderId,
    /// Fencing number of the leader that sends the order.
    pub fencing: FencingNumber,
    /// Accelerator to load to or unload from.
    pub accelerator: AcceleratorIndex,
    /// Operation to execute.
    pub action: OrderAction,
}

/// Why an order was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum OrderError {
    /// The engine refused the order because of its fencing number.
    #[snafu(display("the engine has seen fencing number {newest}"))]
    Fenced {
        /// Largest number the engine has seen.
        newest: FencingNumber,
    },
    /// The engine refused the order for another reason and did not execute it.
    #[snafu(display("the engine refused the order"))]
    Refused,
    /// The order may have been executed, or may still be executed later.
    #[snafu(display("the engine's answer was lost"))]
    Unknown,
}

/// Report of an engine about itself; its load figures may be out of date, its resident weights are current.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Largest fencing number seen.
    pub fencing: FencingNumber,
    /// Sequence number, which increases with each report and across restarts, so that older reports are recognised.
    #[serde(default)]
    pub sequence: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting at the engine.
    pub waiting: u32,
    /// Weights in memory.
    pub resident: Vec<ResidentArtifact>,
    /// Orders that the engine has finished or refused, the newest last, limited in number. `resident` of the same
    /// report includes their effect. A settled order that is received again is listed again as the newest.
    pub settled: Vec<OrderId>,
}

/// Weights in the memory of one accelerator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentArtifact {
    /// Accelerator that holds the weights.
    pub accelerator: AcceleratorIndex,
    /// Artifact that the weights belong to.
    pub artifact: Artifact,
    /// Memory that the weights take.
    pub memory_mib: MemoryMib,
    /// Whether the weights can serve requests; `false` while loading or unloading.
    pub is_ready: bool,
}
