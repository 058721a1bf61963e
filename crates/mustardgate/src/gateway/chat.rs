//! Chat completions, whole or as server-sent events.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use hyper::{Request, Response, StatusCode, body::Incoming};
use mustardgate_core::{clock, log::Artifact, resources::ModelSpec, verdict::RunVerdict};
use mustardgate_protocol::callers::{ChatAnswer, ChatChoice, ChatChunk, ChatMessage, ChatRequest, ChatUsage};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::{
    errors::CallerError,
    request::{name_request, read_body, read_deadline},
    tenants::{CallerScope, identify},
};
use crate::{
    context::NodeContext,
    dispatch::{GenerationEvent, GenerationJob, JobOrigin, run_generation},
    drain::FlightGuard,
    http::{AnswerBody, json_answer, streamed_answer},
    telemetry::RequestLabels,
};

/// Pieces of an answer that wait for a slow caller before the engine's stream is no longer read.
const PIECE_BUFFER: usize = 64;
/// Tokens that one request may ask for.
const MAX_TOKENS: u32 = 32_768;

/// A chat completion being answered.
#[derive(Debug)]
struct ChatExchange {
    id: SmolStr,
    model: SmolStr,
    pieces: mpsc::Receiver<GenerationEvent>,
}

/// A chat completion as it was asked for.
#[derive(Debug)]
struct ChatOrder {
    job: GenerationJob,
    model: SmolStr,
    is_streamed: bool,
}

pub(super) async fn answer_chat(
    context: Arc<NodeContext>,
    request: Request<Incoming>,
    flight: FlightGuard,
) -> Result<Response<AnswerBody>, CallerError> {
    let order = read_order(&context, request).await?;
    let id = order.job.origin.request.clone();
    let is_streamed = order.is_streamed;
    let exchange = start_exchange(context, order, flight);
    let mut response = if is_streamed {
        answer_streamed(exchange).await?
    } else {
        answer_whole(exchange).await?
    };
    name_request(response.headers_mut(), &id);
    Ok(response)
}

async fn read_order(context: &NodeContext, request: Request<Incoming>) -> Result<ChatOrder, CallerError> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let scope = identify(context, &head.headers)?;
    let deadline = read_deadline(&head.headers, &context.settings.callers)?;
    let body = read_body(body, &context.settings.callers).await?;
    let chat = parse_chat(&body)?;
    let artifact = resolve_artifact(context, &scope, &chat.model)?;
    let service = scope.service_of_model(&artifact.model)?;
    let origin = JobOrigin {
        request: context.identifiers.next(),
        tenant: scope.tenant.clone(),
        weight: scope.weight(),
        class: scope.service(&service)?.priority,
        arrived,
        deadline,
        bytes: body.len(),
    };
    let job = GenerationJob {
        origin,
        artifact,
        prompt: prompt_text(&chat),
        max_tokens: chat.max_tokens,
    };
    Ok(ChatOrder {
        job,
        model: chat.model,
        is_streamed: chat.stream,
    })
}

fn parse_chat(body: &Bytes) -> Result<ChatRequest, CallerError> {
    let chat: ChatRequest = serde_json::from_slice(body).map_err(|error| CallerError::InvalidBody {
        reason: error.to_string(),
    })?;
    if chat.messages.is_empty() {
        return Err(CallerError::InvalidBody {
            reason: "messages must not be empty".to_owned(),
        });
    }
    if chat.max_tokens == 0 || chat.max_tokens > MAX_TOKENS {
        return Err(CallerError::InvalidBody {
            reason: format!("max_tokens must be 1 to {MAX_TOKENS}"),
        });
    }
    Ok(chat)
}

/// Finds the weights for the name of a model or of an adapter.
fn resolve_artifact(context: &NodeContext, scope: &CallerScope, name: &SmolStr) -> Result<Artifact, CallerError> {
    if let Some(model) = scope.view.model(name) {
        return Ok(answering_version(context, name, model));
    }
    let adapter = scope
        .view
        .adapter(name)
        .ok_or_else(|| CallerError::UnknownModel { model: name.clone() })?;
    Ok(Artifact {
        model: adapter.model.clone(),
        adapter: Some(name.clone()),
        version: adapter.version.clone(),
    })
}

/// Returns the serving version, or another declared one that answers while no runner has loaded the serving version yet:
/// a change of version must not take the model away from its callers.
fn answering_version(context: &NodeContext, name: &SmolStr, model: &ModelSpec) -> Artifact {
    let serving = model.artifact_of(name, &model.serving);
    if !context.board.ready(&serving).is_empty() {
        return serving;
    }
    let others = model
        .versions
        .iter()
        .rev()
        .map(|version| model.artifact_of(name, &version.name));
    let mut answering = others.filter(|artifact| !context.board.ready(artifact).is_empty());
    answering.next().unwrap_or(serving)
}

fn prompt_text(chat: &ChatRequest) -> String {
    let mut text = String::new();
    for message in &chat.messages {
        text.push_str(&message.role);
        text.push_str(": ");
        text.push_str(&message.content);
        text.push('\n');
    }
    text
}

fn start_exchange(context: Arc<NodeContext>, order: ChatOrder, flight: FlightGuard) -> ChatExchange {
    let (sender, mut events) = mpsc::channel(PIECE_BUFFER);
    let (forward, pieces) = mpsc::channel(PIECE_BUFFER);
    let origin = &order.job.origin;
    let (id, arrived) = (origin.request.clone(), origin.arrived);
    let labels = RequestLabels {
        tenant: origin.tenant.clone(),
        class: origin.class,
    };
    tokio::spawn(run_generation(context, order.job, sender));
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            record_event(&labels, &event, clock::now() - arrived);
            if forward.send(event).await.is_err() {
                break;
            }
        }
        drop(flight);
    });
    ChatExchange {
        id,
        model: order.model,
        pieces,
    }
}

fn record_event(labels: &RequestLabels, event: &GenerationEvent, elapsed: Duration) {
    match event {
        GenerationEvent::Token { index: 0, .. } => labels.record_first_token(elapsed),
        GenerationEvent::Token { .. } => {}
        GenerationEvent::Done { .. } => labels.record_answer("ok", RunVerdict::Ran, elapsed),
        GenerationEvent::Failed(error) => labels.record_answer(error.code(), error.verdict(), elapsed),
    }
}

fn stopped_early() -> CallerError {
    CallerError::AttemptsFailed {
        reason: "the answer's task ended".to_owned(),
        verdict: RunVerdict::MayHaveRun,
        retry_after: Duration::from_secs(1),
    }
}

async fn answer_whole(mut exchange: ChatExchange) -> Result<Response<AnswerBody>, CallerError> {
    let mut content = String::new();
    loop {
        match exchange.pieces.recv().await {
            Some(GenerationEvent::Token { text, .. }) => content.push_str(&text),
            Some(GenerationEvent::Done { tokens }) => {
                let message = ChatMessage {
                    role: "assistant".into(),
                    content,
                };
                let answer = ChatAnswer {
                    id: exchange.id,
                    model: exchange.model,
                    choices: vec![ChatChoice {
                        index: 0,
                        message,
                        finish_reason: "stop".into(),
                    }],
                    usage: ChatUsage {
                        completion_tokens: tokens,
                    },
                };
                return Ok(json_answer(StatusCode::OK, &answer));
            }
            Some(GenerationEvent::Failed(error)) => return Err(error),
            None => return Err(stopped_early()),
        }
    }
}

/// Waits for the first piece, so that an early failure still gets its own status.
async fn answer_streamed(mut exchange: ChatExchange) -> Result<Response<AnswerBody>, CallerError> {
    let first = match exchange.pieces.recv().await {
        Some(GenerationEvent::Failed(error)) => return Err(error),
        Some(first) => first,
        None => return Err(stopped_early()),
    };
    let id = exchange.id;
    let rest = stream::unfold(Some(exchange.pieces), |pieces| async move {
        let mut pieces = pieces?;
        match pieces.recv().await {
            Some(GenerationEvent::Token { index, text }) => {
                Some((GenerationEvent::Token { index, text }, Some(pieces)))
            }
            Some(last) => Some((last, None)),
            None => Some((GenerationEvent::Failed(stopped_early()), None)),
        }
    });
    let is_whole = matches!(first, GenerationEvent::Done { .. });
    let rest = if is_whole { rest.take(0).boxed() } else { rest.boxed() };
    let events = stream::once(async { first }).chain(rest);
    let frames = events.map(move |event| render_event(&id, event));
    Ok(streamed_answer(StatusCode::OK, "text/event-stream", frames))
}

fn render_event(id: &SmolStr, event: GenerationEvent) -> Bytes {
    match event {
        GenerationEvent::Token { index, text } => sse(&ChatChunk {
            id: id.clone(),
            index,
            delta: text,
            finish_reason: None,
        }),
        GenerationEvent::Done { tokens } => {
            let last = ChatChunk {
                id: id.clone(),
                index: tokens,
                delta: String::new(),
                finish_reason: Some("stop".into()),
            };
            Bytes::from([sse(&last), Bytes::from_static(b"data: [DONE]\n\n")].concat())
        }
        GenerationEvent::Failed(error) => sse(&error.to_answer()),
    }
}

fn sse<T: Serialize>(value: &T) -> Bytes {
    let text = serde_json::to_string(value).expect("answers have no map with keys other than text");
    Bytes::from(format!("data: {text}\n\n"))
}
