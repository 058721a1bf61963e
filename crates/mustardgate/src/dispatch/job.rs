//! What is dispatched, and what comes back.

use std::time::{Duration, Instant};

use mustardgate_core::{
    admission::QueuedRequest,
    ids::{RequestId, TenantId},
    log::Artifact,
    resources::PriorityClass,
};

use super::desk::PlaceRequest;
use crate::gateway::CallerError;

/// Who asks, and until when the answer is wanted.
#[derive(Clone, Debug)]
pub struct JobOrigin {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Weight of the tenant.
    pub weight: u32,
    /// Class of the service.
    pub class: PriorityClass,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the whole answer is wanted.
    pub deadline: Instant,
    /// Bytes that the request holds while it waits.
    pub bytes: usize,
}

impl JobOrigin {
    /// Returns the request as the queue sees it; `answer_time` is kept free before the deadline.
    pub(super) fn queued(&self, artifact: &Artifact, answer_time: Duration) -> QueuedRequest {
        QueuedRequest {
            request: self.request.clone(),
            pool: PlaceRequest::pool_of(artifact),
            tenant: self.tenant.clone(),
            weight: self.weight,
            class: self.class,
            deadline: self.deadline.checked_sub(answer_time).unwrap_or(self.deadline),
            bytes: self.bytes,
            cost: 1,
        }
    }
}

/// A generation that a caller asked for.
#[derive(Clone, Debug)]
pub struct GenerationJob {
    /// Who asks.
    pub origin: JobOrigin,
    /// Weights that answer.
    pub artifact: Artifact,
    /// The prompt as text.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
}

/// One piece of a generation's answer, in order and without gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationEvent {
    /// The next token.
    Token {
        /// Position of the token, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// Number of tokens.
        tokens: u32,
    },
    /// The answer will not become whole.
    Failed(CallerError),
}
