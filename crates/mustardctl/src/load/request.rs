//! One streamed request of a load, sent through a node or directly to an engine.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, header::HeaderName, header::HeaderValue};
use mustardgate_core::{ids::ModelId, log::Artifact, resources::PriorityClass};
use mustardgate_protocol::{
    callers::{CHAT_PATH, ChatChunk, ChatMessage, ChatRequest, DEADLINE_HEADER, ErrorAnswer},
    engine::{EngineEvent, GENERATE_PATH, GenerateRequest},
};
use smol_str::{SmolStr, format_smolstr};

use crate::{
    cli::CommandError,
    client::{EventReader, HttpClient, insert_bearer_key, json_request},
};

/// Target of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadTarget {
    /// A model or adapter, requested from a node.
    Model(ModelId),
    /// Weights, requested from an engine directly.
    Engine {
        /// The weights.
        artifact: Artifact,
        /// Priority in the engine's batch.
        priority: PriorityClass,
    },
}

/// Outcome of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcome {
    /// Time from when the request was due until it was sent.
    pub sender_delay: Duration,
    /// Time from when the request was due until the first token, if one was received.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
    /// Tokens received.
    pub tokens: u32,
    /// Time from when the request was due until it ended.
    pub elapsed: Duration,
    /// Error code of the failure, or `None` when the whole answer was received.
    pub failure: Option<SmolStr>,
    /// Whether the request failed after its first token.
    pub is_broken: bool,
}

/// A request to send.
#[derive(Clone, Debug)]
pub(super) struct LoadRequest {
    pub server: SocketAddr,
    pub target: LoadTarget,
    pub key: Option<String>,
    pub identifier: SmolStr,
    pub prompt: String,
    pub max_tokens: u32,
    pub deadline: Duration,
    pub due: Instant,
}

/// An event of a stream from a node or from an engine.
enum StreamEvent {
    Token { request_id: SmolStr, index: u32 },
    End,
    Ignored,
    Failed(SmolStr),
}

pub(super) async fn send_request(client: &HttpClient, request: LoadRequest) -> RequestOutcome {
    let mut outcome = RequestOutcome {
        sender_delay: request.due.elapsed(),
        ..RequestOutcome::default()
    };
    let answer = receive_answer(client, &request, &mut outcome);
    let result = match tokio::time::timeout(request.deadline, answer).await {
        Ok(result) => result,
        Err(_elapsed) => Err("client_deadline".into()),
    };
    outcome.elapsed = request.due.elapsed();
    outcome.is_broken = result.is_err() && outcome.first_token.is_some();
    outcome.failure = result.err();
    outcome
}

async fn receive_answer(
    client: &HttpClient,
    request: &LoadRequest,
    outcome: &mut RequestOutcome,
) -> Result<(), SmolStr> {
    let message = build_message(request).map_err(|error| format_smolstr!("{error}"))?;
    let response = client
        .open(request.server, message)
        .await
        .map_err(|_error| SmolStr::from("no_answer"))?;
    if !response.status().is_success() {
        return Err(error_code(response).await);
    }
    let mut reader = EventReader::new(response.into_body());
    let mut first_request_id: Option<SmolStr> = None;
    let mut last_token = request.due;
    while let Some(data) = reader
        .next_data()
        .await
        .map_err(|_error| SmolStr::from("broken_connection"))?
    {
        match parse_event(request, &data) {
            StreamEvent::Token { request_id, index } => {
                let is_same_request = *first_request_id.get_or_insert_with(|| request_id.clone()) == request_id;
                if index != outcome.tokens || !is_same_request {
                    return Err("crossed_answer".into());
                }
                record_token(request, outcome, &mut last_token);
            }
            StreamEvent::End if outcome.tokens == request.max_tokens => return Ok(()),
            StreamEvent::End => return Err("short_answer".into()),
            StreamEvent::Ignored => {}
            StreamEvent::Failed(code) => return Err(code),
        }
    }
    Err("short_answer".into())
}

fn record_token(request: &LoadRequest, outcome: &mut RequestOutcome, last_token: &mut Instant) {
    let now = Instant::now();
    match outcome.first_token {
        None => outcome.first_token = Some(now - request.due),
        Some(_) => outcome.token_gaps.push(now - *last_token),
    }
    outcome.tokens += 1;
    *last_token = now;
}

fn build_message(request: &LoadRequest) -> Result<Request<Full<Bytes>>, CommandError> {
    let mut message = match &request.target {
        LoadTarget::Model(model) => {
            let chat = ChatRequest {
                model: model.clone(),
                messages: vec![ChatMessage {
                    role: "user".into(),
                    content: request.prompt.clone(),
                }],
                stream: true,
                max_tokens: request.max_tokens,
            };
            json_request(Method::POST, CHAT_PATH, &chat)?
        }
        LoadTarget::Engine { artifact, priority } => {
            let generate = GenerateRequest {
                request: request.identifier.clone(),
                attempt: 1,
                artifact: artifact.clone(),
                prompt: request.prompt.clone(),
                max_tokens: request.max_tokens,
                priority: *priority,
                resume_from: 0,
            };
            json_request(Method::POST, GENERATE_PATH, &generate)?
        }
    };
    let headers = message.headers_mut();
    insert_bearer_key(headers, request.key.as_deref())?;
    let deadline = HeaderValue::from(request.deadline.as_millis() as u64);
    headers.insert(HeaderName::from_static(DEADLINE_HEADER), deadline);
    Ok(message)
}

fn parse_event(request: &LoadRequest, data: &str) -> StreamEvent {
    match &request.target {
        LoadTarget::Model(_) => parse_chunk(data),
        LoadTarget::Engine { .. } => parse_engine_event(&request.identifier, data),
    }
}

fn parse_chunk(data: &str) -> StreamEvent {
    if data == "[DONE]" {
        return StreamEvent::End;
    }
    if let Ok(chunk) = serde_json::from_str::<ChatChunk>(data) {
        if chunk.finish_reason.is_some() {
            return StreamEvent::Ignored;
        }
        return StreamEvent::Token {
            request_id: chunk.id,
            index: chunk.index,
        };
    }
    match serde_json::from_str::<ErrorAnswer>(data) {
        Ok(answer) => StreamEvent::Failed(answer.error.code),
        Err(_error) => StreamEvent::Failed("unreadable_event".into()),
    }
}

fn parse_engine_event(sent_id: &SmolStr, data: &str) -> StreamEvent {
    match serde_json::from_str(data) {
        Ok(EngineEvent::Token { request, index, .. }) => StreamEvent::Token {
            request_id: request,
            index,
        },
        Ok(EngineEvent::Done { request, .. }) if request == *sent_id => StreamEvent::End,
        Ok(EngineEvent::Done { .. }) => StreamEvent::Failed("crossed_answer".into()),
        Ok(EngineEvent::Failed { .. }) => StreamEvent::Failed("engine_failed".into()),
        Err(_error) => StreamEvent::Failed("unreadable_event".into()),
    }
}

/// Returns the code of an error answer, or one made from its status when the body has none.
async fn error_code(response: Response<Incoming>) -> SmolStr {
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    let answer = body
        .ok()
        .and_then(|body| serde_json::from_slice::<ErrorAnswer>(&body).ok());
    answer.map_or_else(
        || format_smolstr!("status_{}", status.as_u16()),
        |answer| answer.error.code,
    )
}
