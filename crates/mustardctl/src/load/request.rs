//! One streamed request of a load, through a node or straight at an engine.

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

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadTarget {
    /// A model or adapter behind a node.
    Model(ModelId),
    /// Weights of an engine, without a node between.
    Engine {
        /// The weights.
        artifact: Artifact,
        /// Priority in the engine's batch.
        priority: PriorityClass,
    },
}

/// What came of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcome {
    /// Time between when the request was due and when it was sent.
    pub sender_delay: Duration,
    /// Time from when it was due to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Tokens received.
    pub tokens: u32,
    /// Time from when it was due to its end.
    pub elapsed: Duration,
    /// Code of the failure; `None` when the answer was whole.
    pub failure: Option<SmolStr>,
    /// Whether the answer began and was not whole, or was another request's.
    pub is_broken: bool,
}

/// One request to send.
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

/// One event of either kind of stream.
enum StreamEvent {
    Token { owner: SmolStr, index: u32 },
    End,
    Ignored,
    Failed(SmolStr),
}

pub(super) async fn send_request(client: &HttpClient, request: LoadRequest) -> RequestOutcome {
    let mut outcome = RequestOutcome {
        sender_delay: request.due.elapsed(),
        ..RequestOutcome::default()
    };
    let whole = receive(client, &request, &mut outcome);
    let result = match tokio::time::timeout(request.deadline, whole).await {
        Ok(result) => result,
        Err(_elapsed) => Err("client_deadline".into()),
    };
    outcome.elapsed = request.due.elapsed();
    outcome.is_broken = result.is_err() && outcome.first_token.is_some();
    outcome.failure = result.err();
    outcome
}

async fn receive(client: &HttpClient, request: &LoadRequest, outcome: &mut RequestOutcome) -> Result<(), SmolStr> {
    let message = build(request).map_err(|error| format_smolstr!("{error}"))?;
    let response = client
        .open(request.server, message)
        .await
        .map_err(|_error| SmolStr::from("no_answer"))?;
    if !response.status().is_success() {
        return Err(read_code(response).await);
    }
    let mut reader = EventReader::new(response.into_body());
    let mut owner: Option<SmolStr> = None;
    let mut last = request.due;
    while let Some(data) = reader
        .next_data()
        .await
        .map_err(|_error| SmolStr::from("broken_connection"))?
    {
        match read_event(request, &data) {
            StreamEvent::Token {
                owner: token_owner,
                index,
            } => {
                let is_own = *owner.get_or_insert_with(|| token_owner.clone()) == token_owner;
                if index != outcome.tokens || !is_own {
                    return Err("crossed_answer".into());
                }
                note_token(request, outcome, &mut last);
            }
            StreamEvent::End if outcome.tokens == request.max_tokens => return Ok(()),
            StreamEvent::End => return Err("short_answer".into()),
            StreamEvent::Ignored => {}
            StreamEvent::Failed(code) => return Err(code),
        }
    }
    Err("short_answer".into())
}

fn note_token(request: &LoadRequest, outcome: &mut RequestOutcome, last: &mut Instant) {
    let now = Instant::now();
    match outcome.first_token {
        None => outcome.first_token = Some(now - request.due),
        Some(_) => outcome.gaps.push(now - *last),
    }
    outcome.tokens += 1;
    *last = now;
}

fn build(request: &LoadRequest) -> Result<Request<Full<Bytes>>, CommandError> {
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

fn read_event(request: &LoadRequest, data: &str) -> StreamEvent {
    match &request.target {
        LoadTarget::Model(_) => read_chunk(data),
        LoadTarget::Engine { .. } => read_engine_event(&request.identifier, data),
    }
}

fn read_chunk(data: &str) -> StreamEvent {
    if data == "[DONE]" {
        return StreamEvent::End;
    }
    if let Ok(chunk) = serde_json::from_str::<ChatChunk>(data) {
        if chunk.finish_reason.is_some() {
            return StreamEvent::Ignored;
        }
        return StreamEvent::Token {
            owner: chunk.id,
            index: chunk.index,
        };
    }
    match serde_json::from_str::<ErrorAnswer>(data) {
        Ok(answer) => StreamEvent::Failed(answer.error.code),
        Err(_error) => StreamEvent::Failed("unreadable_event".into()),
    }
}

fn read_engine_event(own: &SmolStr, data: &str) -> StreamEvent {
    match serde_json::from_str(data) {
        Ok(EngineEvent::Token { request, index, .. }) => StreamEvent::Token { owner: request, index },
        Ok(EngineEvent::Done { request, .. }) if request == *own => StreamEvent::End,
        Ok(EngineEvent::Done { .. }) => StreamEvent::Failed("crossed_answer".into()),
        Ok(EngineEvent::Failed { .. }) => StreamEvent::Failed("engine_failed".into()),
        Err(_error) => StreamEvent::Failed("unreadable_event".into()),
    }
}

/// Reads the code of an error answer, or names its status.
async fn read_code(response: Response<Incoming>) -> SmolStr {
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
