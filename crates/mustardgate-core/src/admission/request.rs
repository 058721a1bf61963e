//! Requests, bounds and results of the admission queue.

use std::time::Instant;

use smol_str::SmolStr;
use snafu::Snafu;

use super::{Refusal, RefusedRequest};
use crate::{
    ids::{RequestId, TenantId},
    resources::PriorityClass,
};

/// Name of a pool of runners: the model or the plain service that they serve.
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
    /// Pool of runners that it waits for.
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

/// Result of offering a request to the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionOutcome {
    /// The refusal, or `None` when the request waits in the queue.
    pub refusal: Option<Refusal>,
    /// Requests that were shed to make room and whose callers must be answered now.
    pub shed: Vec<RefusedRequest>,
}

/// A bound that the queue would have exceeded; the request concerned is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum QueueViolation {
    /// The length or the bytes would exceed their bounds even after shedding.
    #[snafu(display("the queue would hold {requests} requests and {bytes} bytes"))]
    BoundExceeded {
        /// Requests that the queue would hold.
        requests: usize,
        /// Bytes that it would hold.
        bytes: usize,
    },
}
