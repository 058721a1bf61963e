//! Callers who stream chat answers and compare the text with the one that the stand-in engine derives from the prompt.

use std::{sync::Arc, time::Duration};

use hyper::{
    Method,
    header::{AUTHORIZATION, HeaderName, HeaderValue},
};
use mustardctl::client::EventReader;
use mustardgate_protocol::callers::{CHAT_PATH, ChatChunk, ChatMessage, ChatRequest, DEADLINE_HEADER};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

use super::{
    declarations::{MODELS, TENANT_KEY},
    testbed::NodeTarget,
};
use crate::{
    engine_http::whole_answer,
    http::{CallError, json_request, open},
};

const ANSWER_TOKENS: u32 = 32;
const DEADLINE_MS: u64 = 6_000;
/// Time after which a caller gives up, one second after the deadline in the request.
const CALL_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_000);
const CHAT_PAUSE: Duration = Duration::from_millis(50);

/// Outcome of one chat request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChatOutcome {
    /// The complete and correct answer to the prompt.
    Whole,
    /// Text that differs from the expected answer, or an incomplete answer that was marked as complete.
    Wrong,
    /// Part of the answer and then an error, or a connection that closed before the answer was complete.
    CutOff,
    /// An error before any text.
    Refused,
    /// The connection could not be established.
    Unreachable,
    /// The answer was not complete within [`CALL_TIMEOUT`].
    TimedOut,
}

/// One chat request and its outcome.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChatRecord {
    pub node: usize,
    pub outcome: ChatOutcome,
}

/// A caller who sends one chat request after another.
#[derive(Debug)]
pub(super) struct ChatCaller {
    targets: Arc<Vec<NodeTarget>>,
    stop: CancellationToken,
    rng: ChaCha8Rng,
}

impl ChatCaller {
    pub(super) fn new(targets: Arc<Vec<NodeTarget>>, stop: CancellationToken, seed: u64, number: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(number);
        Self { targets, stop, rng }
    }

    /// Sends chat requests until told to stop.
    pub(super) async fn run(mut self) -> Vec<ChatRecord> {
        let mut records = Vec::new();
        while !self.stop.is_cancelled() {
            let node = self.rng.random_range(0..self.targets.len());
            let model = MODELS[self.rng.random_range(0..MODELS.len())];
            let prompt = format!("draft a menu [seed:{}]", self.rng.random::<u32>());
            let call = send_chat(&self.targets[node], model, &prompt);
            let outcome = tokio::time::timeout(CALL_TIMEOUT, call).await;
            let outcome = outcome.unwrap_or(ChatOutcome::TimedOut);
            records.push(ChatRecord { node, outcome });
            tokio::time::sleep(CHAT_PAUSE).await;
        }
        records
    }
}

async fn send_chat(target: &NodeTarget, model: &str, prompt: &str) -> ChatOutcome {
    let message = ChatMessage {
        role: "user".into(),
        content: prompt.to_owned(),
    };
    let chat = ChatRequest {
        model: model.into(),
        messages: vec![message],
        stream: true,
        max_tokens: ANSWER_TOKENS,
    };
    let mut request = json_request(Method::POST, CHAT_PATH, &chat);
    let bearer = HeaderValue::from_str(&format!("Bearer {TENANT_KEY}")).expect("the key is plain text");
    request.headers_mut().insert(AUTHORIZATION, bearer);
    let deadline = HeaderName::from_static(DEADLINE_HEADER);
    request.headers_mut().insert(deadline, HeaderValue::from(DEADLINE_MS));
    match open(target.callers_address, request).await {
        Ok(response) if response.status().is_success() => {
            read_answer(
                EventReader::new(response.into_body()),
                &whole_answer(prompt, ANSWER_TOKENS),
            )
            .await
        }
        Ok(_refused) => ChatOutcome::Refused,
        Err(CallError::Connect { .. }) => ChatOutcome::Unreachable,
        Err(_closed) => ChatOutcome::CutOff,
    }
}

async fn read_answer(mut reader: EventReader, expected: &str) -> ChatOutcome {
    let mut text = String::new();
    while let Ok(Some(data)) = reader.next_data().await {
        if data == "[DONE]" {
            return if text == expected {
                ChatOutcome::Whole
            } else {
                ChatOutcome::Wrong
            };
        }
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(&data) else {
            // An error before any text is a refusal, not an answer that was cut off.
            return if text.is_empty() {
                ChatOutcome::Refused
            } else {
                ChatOutcome::CutOff
            };
        };
        text.push_str(&chunk.delta);
        if !expected.starts_with(&text) {
            return ChatOutcome::Wrong;
        }
    }
    ChatOutcome::CutOff
}
