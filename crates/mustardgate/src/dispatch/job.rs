//! What is dispatched, and what comes back.

use std::time::Instant;

use mustardgate_core::{
    ids::{RequestId, TenantId},
    log::Artifact,
    resources::PriorityClass,
};

use crate::gateway::CallerError;

/// A generation that a caller asked for.
#[derive(Clone, Debug)]
pub struct GenerationJob {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Tenant of the caller.
    pub tenant: TenantId,
    /// Weights that answer.
    pub artifact: Artifact,
    /// The prompt as text.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Class of the service.
    pub class: PriorityClass,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the whole answer is wanted.
    pub deadline: Instant,
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
