//! The generations to dispatch, and the events of their answers.

use std::time::{Duration, Instant};

use mustardgate_core::{
    admission::QueuedRequest,
    ids::{RequestId, TenantId},
    log::Artifact,
    resources::PriorityClass,
};

use super::admission::SlotRequest;
use crate::gateway::CallerError;

/// Caller, priority and deadline of a request.
#[derive(Clone, Debug)]
pub struct JobOrigin {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Weight of the tenant.
    pub weight: u32,
    /// Priority class of the service.
    pub class: PriorityClass,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time by which the whole answer is wanted.
    pub deadline: Instant,
    /// Memory that the request holds while it waits, in bytes.
    pub bytes: usize,
}

impl JobOrigin {
    /// Returns the entry for the queue, whose deadline is earlier by `answer_time` to leave time for the answer.
    pub(super) fn queued_request(&self, artifact: &Artifact, answer_time: Duration) -> QueuedRequest {
        QueuedRequest {
            request: self.request.clone(),
            pool: SlotRequest::pool_of(artifact),
            tenant: self.tenant.clone(),
            weight: self.weight,
            class: self.class,
            deadline: self.deadline.checked_sub(answer_time).unwrap_or(self.deadline),
            bytes: self.bytes,
            cost: 1,
        }
    }
}

/// A generation to be dispatched.
#[derive(Clone, Debug)]
pub struct GenerationJob {
    /// Caller, tenant and deadline.
    pub origin: JobOrigin,
    /// Weights to generate with.
    pub artifact: Artifact,
    /// The prompt as text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// One event of a generation's answer; the tokens come in order and without gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationEvent {
    /// The next token.
    Token {
        /// Position of the token, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// Number of tokens.
        tokens: u32,
    },
    /// The answer ends here incomplete.
    Failed(CallerError),
}
