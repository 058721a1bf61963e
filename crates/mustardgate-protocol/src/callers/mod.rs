//! HTTP messages of the API for callers.

use mustardgate_core::verdict::RunVerdict;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of the list of models.
pub const MODELS_PATH: &str = "/v1/models";
/// Prefix of calls to plain services.
pub const SERVICES_PREFIX: &str = "/services/";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the time in milliseconds within which the caller wants the whole answer.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the identifier of the request, in answers to callers and in requests to backend servers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the number of the attempt in requests to backend servers, which repeat it in their answers.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header of an answer with the verdict on the request.
pub const VERDICT_HEADER: &str = "x-run-verdict";

/// A caller's request for a chat completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of a declared model or adapter.
    pub model: SmolStr,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

fn default_max_tokens() -> u32 {
    256
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the speaker, such as `user`.
    pub role: SmolStr,
    /// Text of the message.
    pub content: String,
}

/// A whole chat completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// Identifier of the request.
    pub id: SmolStr,
    /// Model or adapter that answered.
    pub model: SmolStr,
    /// The answers; always one.
    pub choices: Vec<ChatChoice>,
    /// Token counts.
    pub usage: ChatUsage,
}

/// One answer of a chat completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Position among the answers.
    pub index: u32,
    /// The message.
    pub message: ChatMessage,
    /// Why the answer ended: `stop`.
    pub finish_reason: SmolStr,
}

/// Token counts of a chat completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatUsage {
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// One server-sent chunk of a streamed chat completion; the stream ends with `data: [DONE]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Identifier of the request.
    pub id: SmolStr,
    /// Position of the token in the whole answer, from 0.
    pub index: u32,
    /// Text of the token.
    pub delta: String,
    /// Why the answer ended, on the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<SmolStr>,
}

/// Body of every error answer, and of the last event of a stream that broke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// What went wrong with a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable code of the error, such as `unknown_model`.
    pub code: SmolStr,
    /// Human-readable explanation.
    pub message: String,
    /// Whether the request may have run; with an idempotency key it covers every attempt with that key.
    pub verdict: RunVerdict,
    /// Time in milliseconds after which to retry; also sent as `Retry-After` in whole seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
