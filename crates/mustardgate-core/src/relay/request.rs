//! What the decisions need to know of one request.

use std::time::{Duration, Instant};

use smol_str::{SmolStr, format_smolstr};

use crate::ids::{AdapterId, ModelId, RequestId};

/// A model, or an adapter of it, that a request names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelName {
    /// The model.
    pub model: ModelId,
    /// The adapter, if one is named.
    pub adapter: Option<AdapterId>,
}

impl ModelName {
    /// Parses a model's name, which an adapter may follow after a slash.
    pub fn parse(text: &str) -> Self {
        match text.split_once('/') {
            Some((model, adapter)) => Self {
                model: model.into(),
                adapter: Some(adapter.into()),
            },
            None => Self {
                model: text.into(),
                adapter: None,
            },
        }
    }

    /// Returns the name as callers write it.
    pub fn to_text(&self) -> SmolStr {
        match &self.adapter {
            Some(adapter) => format_smolstr!("{}/{adapter}", self.model),
            None => self.model.clone(),
        }
    }
}

/// Sizes that a caller declares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub output: u64,
}

/// One part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// What the decisions need to know of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayRequest {
    /// Identifier that the caller gave this attempt.
    pub id: RequestId,
    /// When the request's head had been read.
    pub received_at: Instant,
    /// How long the caller waits, if it says so.
    pub patience: Option<Duration>,
    /// Model it asks for, if any.
    pub model: Option<ModelName>,
    /// Declared sizes.
    pub usage: TokenUsage,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Last event that the caller has of an earlier stream.
    pub last_event: Option<SmolStr>,
}

impl RelayRequest {
    /// Returns when the request must have its final answer on a route that allows `timeout`.
    pub fn expires_at(&self, timeout: Duration) -> Instant {
        self.received_at + self.patience.map_or(timeout, |patience| patience.min(timeout))
    }
}
