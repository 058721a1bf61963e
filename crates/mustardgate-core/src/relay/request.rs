//! Properties of a request on which relaying decisions depend.

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
    /// Parses a model name, optionally followed by a slash and an adapter name.
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

/// Sizes that a caller declares for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Largest number of tokens in the answer.
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

/// Properties of a request on which relaying decisions depend.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayRequest {
    /// Identifier that the caller gave this attempt.
    pub id: RequestId,
    /// When the request's head was received completely.
    pub received_at: Instant,
    /// Timeout that the caller set, if any.
    pub caller_timeout: Option<Duration>,
    /// Model that it names, if any.
    pub model: Option<ModelName>,
    /// Declared sizes, if any.
    pub usage: Option<TokenUsage>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Identifier of the last event that the caller received from an earlier stream, if any.
    pub last_event: Option<SmolStr>,
    /// Caller's attempt that brought the first event of the stream that this request takes up, if the caller names one.
    pub resumes: Option<RequestId>,
}

impl RelayRequest {
    /// Returns whether the caller takes up a stream of which it has received an event.
    pub fn takes_up_stream(&self) -> bool {
        self.resumes.is_some() || self.last_event.is_some()
    }

    /// Returns the deadline for the complete answer on a route with the given timeout.
    pub fn expires_at(&self, route_timeout: Duration) -> Instant {
        self.received_at
            + self
                .caller_timeout
                .map_or(route_timeout, |timeout| timeout.min(route_timeout))
    }
}
