//! What the queue takes in and answers.

use std::time::Instant;

use smol_str::SmolStr;
use snafu::Snafu;

use super::{Refusal, RefusedRequest};
use crate::{
    ids::{RequestId, TenantId},
    resources::PriorityClass,
};

/// Name of the runners that a request waits for: a model, or a plain service.
pub type PoolId = SmolStr;

/// Bounds of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests that may wait.
    pub max_requests: usize,
    /// Bytes that waiting requests may hold.
    pub max_bytes: usize,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self {
            max_requests: 4_096,
            max_bytes: 32 * 1_024 * 1_024,
        }
    }
}

/// A request that waits to be dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Runners that it waits for.
    pub pool: PoolId,
    /// Tenant it belongs to.
    pub tenant: TenantId,
    /// Weight of the tenant.
    pub weight: u32,
    /// Priority class.
    pub class: PriorityClass,
    /// Time by which the first token or the answer is wanted.
    pub deadline: Instant,
    /// Memory that the request holds while it waits.
    pub bytes: usize,
    /// Work relative to other requests; one for an ordinary request.
    pub cost: u32,
}

/// What became of a request that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionOutcome {
    /// The refusal, or `None` when the request waits in the queue.
    pub refusal: Option<Refusal>,
    /// Requests that gave way to it and whose callers are to be told now.
    pub shed: Vec<RefusedRequest>,
}

/// A bound that the queue would have broken; the request concerned is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum QueueViolation {
    /// The length or the bytes would exceed their bounds after making room.
    #[snafu(display("the queue would hold {requests} requests and {bytes} bytes"))]
    BoundExceeded {
        /// Requests that the queue would hold.
        requests: usize,
        /// Bytes that it would hold.
        bytes: usize,
    },
}
