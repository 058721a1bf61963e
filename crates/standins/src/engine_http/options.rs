//! Behaviour, injected faults and statistics of an engine.

use std::time::Duration;

use mustardgate_core::ids::{BackendId, RequestId};
use serde::{Deserialize, Serialize};

use super::{batch::BatchOptions, memory::MemoryOptions, prefix::PrefixOptions};

/// Path to which [`EngineFaults`] are sent with `POST`.
pub const FAULTS_PATH: &str = "/admin/faults";
/// Path of the [`EngineStats`] with `GET`.
pub const STATS_PATH: &str = "/admin/stats";

/// Behaviour of one engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the backend server.
    pub name: BackendId,
    /// Seed of the faults.
    pub seed: u64,
    /// Size and timing of the memory.
    pub memory: MemoryOptions,
    /// Batching.
    pub batch: BatchOptions,
    /// Prefix cache.
    pub prefix: PrefixOptions,
    /// Lag of the load figures in reports.
    pub report_lag: Duration,
    /// Prefill time of one block of a prompt that is not in the prefix cache.
    pub prefill_per_block: Duration,
}

/// Faults in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Delay in milliseconds before an answer to a generation begins.
    pub answer_delay_ms: u64,
    /// Probability that a generation is refused with status 503 and does not run.
    pub refused_ratio: f64,
    /// Probability that the events of another request are sent instead of the request's own.
    pub crossed_ratio: f64,
    /// Probability that the connection breaks in the middle of the stream.
    pub broken_ratio: f64,
    /// Probability that the stream ends properly, but without its last event.
    pub cut_short_ratio: f64,
    /// Probability that an order is lost: no effect and no answer.
    pub dropped_order_ratio: f64,
    /// Probability that an order takes effect late, after its answer was lost.
    pub late_order_ratio: f64,
    /// Delay of a late order in milliseconds.
    pub late_order_ms: u64,
    /// Whether no token is generated, as when an accelerator hangs.
    pub is_stalled: bool,
}

/// What the engine did, whatever its answers said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Generations that ran, by request and attempt.
    pub runs: Vec<RunCount>,
    /// Generations refused before they ran.
    pub refused: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Loads that were begun.
    pub loads: u64,
    /// Unloads that were begun.
    pub unloads: u64,
    /// Whether an accelerator was ever ordered to hold more than its memory.
    pub has_overcommitted: bool,
    /// Orders refused because of their fencing number.
    pub fenced_orders: u64,
    /// Orders executed although a larger fencing number had been seen.
    pub stale_orders_obeyed: u64,
}

/// How often one attempt ran and what came of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Request of a caller.
    pub request: RequestId,
    /// Attempt at it.
    pub attempt: u32,
    /// Times that it ran.
    pub runs: u32,
    /// Tokens generated.
    pub tokens: u64,
    /// Times that the whole answer was generated.
    pub finished: u32,
}
