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
    /// Raises the fencing number that the engine remembers; orders under smaller numbers are refused from then on.
    ///
    /// # Errors
    /// [`OrderError::Fenced`] when the engine has already seen a number that is not smaller.
    async fn raise_fencing(&self, backend: &BackendId, fencing: FencingNumber) -> Result<EngineReport, OrderError>;

    /// Sends one order; success means that the engine took it, not that it has finished.
    ///
    /// # Errors
    /// [`OrderError`] with what is known of the order's fate.
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
    /// Identifier; an engine that has seen it does nothing the second time.
    pub order: OrderId,
    /// Fencing number of the leader that sends it.
    pub fencing: FencingNumber,
    /// Accelerator concerned.
    pub accelerator: AcceleratorIndex,
    /// What to do.
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
    /// The engine refused the order for another reason and did nothing.
    #[snafu(display("the engine refused the order"))]
    Refused,
    /// The order may have been carried out, or may be later.
    #[snafu(display("the engine's answer was lost"))]
    Unknown,
}

/// What an engine reports of itself; load figures lag, resident weights are current.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Largest fencing number seen.
    pub fencing: FencingNumber,
    /// Number of the report, which grows with each report and across restarts; an older report is recognised by it.
    #[serde(default)]
    pub sequence: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting at the engine.
    pub waiting: u32,
    /// Weights in memory.
    pub resident: Vec<ResidentArtifact>,
    /// Orders that the engine has finished or refused, the newest last, bounded in number. Their effect stands in
    /// `resident` of the same report. A settled order that is received again is listed again as the newest.
    pub settled: Vec<OrderId>,
}

/// Weights in the memory of one accelerator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentArtifact {
    /// Accelerator whose memory is taken.
    pub accelerator: AcceleratorIndex,
    /// The weights.
    pub artifact: Artifact,
    /// Memory taken.
    pub memory_mib: MemoryMib,
    /// Whether requests can be answered; `false` while loading or unloading.
    pub is_ready: bool,
}
