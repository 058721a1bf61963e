//! HTTP messages of model engines.

mod cache;

use mustardgate_core::{
    ids::{FencingNumber, RequestId},
    log::Artifact,
    resources::PriorityClass,
    streams::{AnswerEvent, AnswerPart},
};
use serde::{Deserialize, Serialize};

pub use self::cache::{
    CACHE_BLOCK_BYTES, CacheEvent, CacheEventPage, EngineRole, KV_EXPORT_PATH, KV_IMPORT_PATH, KvExport,
    KvExportRequest, ROLE_PATH, RoleChange, block_hashes,
};

/// Path for a [`GenerateRequest`] with `POST`; the answer is a stream of server-sent [`EngineEvent`]s.
/// Status 409 (weights not resident) and 503 (no capacity) mean that the request did not run.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path for a [`CancelRequest`] with `POST`.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path for a [`RaiseFencing`] with `POST`; the answer is an `EngineReport`, or status 409 with a [`FencedAnswer`].
pub const FENCING_PATH: &str = "/control/fencing";
/// Path for an `EngineOrder` with `POST`; status 202, or 409 with a [`FencedAnswer`], or 422 when refused otherwise.
pub const ORDERS_PATH: &str = "/control/orders";
/// Path of the `EngineReport` with `GET`.
pub const REPORT_PATH: &str = "/control/report";
/// Path of delayed prefix-cache events with `GET` and the query `after`; the answer is a [`CacheEventPage`].
pub const CACHE_EVENTS_PATH: &str = "/control/cache-events";

/// A request to generate tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Caller request that the tokens are for.
    pub request: RequestId,
    /// Number of the attempt, from 1; every event of the answer repeats it.
    pub attempt: u32,
    /// Weights to use.
    pub artifact: Artifact,
    /// The prompt as text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority in the engine's batch.
    pub priority: PriorityClass,
    /// Index of the first token to send; tokens before it were already received.
    pub resume_from: u32,
}

/// One server-sent event of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// One token.
    Token {
        /// Caller request that the token is for.
        request: RequestId,
        /// Attempt that the token answers.
        attempt: u32,
        /// Position of the token in the whole answer, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The end of a whole answer.
    Done {
        /// Caller request that was answered.
        request: RequestId,
        /// Attempt that was answered.
        attempt: u32,
        /// Number of tokens in the whole answer.
        tokens: u32,
    },
    /// The engine aborted the generation.
    Failed {
        /// Caller request that failed.
        request: RequestId,
        /// Attempt that failed.
        attempt: u32,
        /// Human-readable reason.
        reason: String,
    },
}

/// Asks an engine to stop generating for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Request to stop.
    pub request: RequestId,
}

/// Asks an engine to refuse smaller fencing numbers from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaiseFencing {
    /// Number of the new leader.
    pub fencing: FencingNumber,
}

/// Body of status 409 to an order or a [`RaiseFencing`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedAnswer {
    /// Largest number that the engine has seen.
    pub newest: FencingNumber,
}

impl From<EngineEvent> for AnswerEvent {
    fn from(event: EngineEvent) -> Self {
        let (request, attempt, part) = match event {
            EngineEvent::Token {
                request,
                attempt,
                index,
                text,
            } => (request, attempt, AnswerPart::Token { index, text }),
            EngineEvent::Done {
                request,
                attempt,
                tokens,
            } => (request, attempt, AnswerPart::Done { tokens }),
            EngineEvent::Failed { request, attempt, .. } => (request, attempt, AnswerPart::Failed),
        };
        Self { request, attempt, part }
    }
}
