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
    request::{read_body, read_deadline, set_request_id},
    tenants::{CallerScope, authenticate},
};
use crate::{
    context::NodeContext,
    dispatch::{GenerationEvent, GenerationJob, JobOrigin, run_generation},
    drain::InFlightGuard,
    http::{AnswerBody, json_answer, streamed_answer},
    telemetry::RequestLabels,
};

/// Capacity, in events, of each of the two channels that an answer passes through; while both are full because the
/// caller reads slowly, the engine's stream is not read.
const EVENT_BUFFER: usize = 64;
/// Maximum number of tokens that one request may ask for.
const MAX_TOKENS: u32 = 32_768;

/// A chat completion in progress.
#[derive(Debug)]
struct ChatExchange {
    id: SmolStr,
    model: SmolStr,
    events: mpsc::Receiver<GenerationEvent>,
}

/// A parsed request for a chat completion.
#[derive(Debug)]
struct ParsedChat {
    job: GenerationJob,
    model: SmolStr,
    is_streamed: bool,
    /// The body, whose room in the budget stands for the prompt that was made of it.
    room: Bytes,
}

pub(super) async fn answer_chat(
    context: Arc<NodeContext>,
    request: Request<Incoming>,
    guard: InFlightGuard,
) -> Result<Response<AnswerBody>, CallerError> {
    let chat = read_chat(&context, request).await?;
    let id = chat.job.origin.request.clone();
    let is_streamed = chat.is_streamed;
    let exchange = start_generation(context, chat, guard);
    let mut response = if is_streamed {
        answer_streamed(exchange).await?
    } else {
        answer_whole(exchange).await?
    };
    set_request_id(response.headers_mut(), &id);
    Ok(response)
}

async fn read_chat(context: &NodeContext, request: Request<Incoming>) -> Result<ParsedChat, CallerError> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let scope = authenticate(context, &head.headers)?;
    let deadline = read_deadline(&head.headers, &context.settings.callers)?;
    let caller_slot = head.extensions.get().cloned().unwrap_or_default();
    let body = read_body(body, &caller_slot, context).await?;
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
    Ok(ParsedChat {
        job,
        model: chat.model,
        is_streamed: chat.stream,
        room: body,
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
        return Ok(available_version(context, name, model));
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

/// Returns the serving version, or the last declared version that a runner has ready while none has the serving version
/// ready, so that a change of version does not make the model unavailable.
fn available_version(context: &NodeContext, name: &SmolStr, model: &ModelSpec) -> Artifact {
    let serving = model.artifact_of(name, &model.serving);
    if !context.runners.ready(&serving).is_empty() {
        return serving;
    }
    let others = model
        .versions
        .iter()
        .rev()
        .map(|version| model.artifact_of(name, &version.name));
    let mut available = others.filter(|artifact| !context.runners.ready(artifact).is_empty());
    available.next().unwrap_or(serving)
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

/// Starts the generation, and a task that records metrics of its events and forwards them.
fn start_generation(context: Arc<NodeContext>, chat: ParsedChat, guard: InFlightGuard) -> ChatExchange {
    let (sender, mut generated) = mpsc::channel(EVENT_BUFFER);
    let (forward, events) = mpsc::channel(EVENT_BUFFER);
    let origin = &chat.job.origin;
    let (id, arrived) = (origin.request.clone(), origin.arrived);
    let labels = RequestLabels {
        tenant: origin.tenant.clone(),
        class: origin.class,
    };
    let room = chat.room;
    tokio::spawn(run_generation(context, chat.job, sender));
    tokio::spawn(async move {
        while let Some(event) = generated.recv().await {
            record_event(&labels, &event, clock::now() - arrived);
            if forward.send(event).await.is_err() {
                break;
            }
        }
        drop((guard, room));
    });
    ChatExchange {
        id,
        model: chat.model,
        events,
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

fn generation_ended() -> CallerError {
    CallerError::AttemptsFailed {
        reason: "the task that generates the answer ended unexpectedly".to_owned(),
        verdict: RunVerdict::MayHaveRun,
        retry_after: Duration::from_secs(1),
    }
}

async fn answer_whole(mut exchange: ChatExchange) -> Result<Response<AnswerBody>, CallerError> {
    let mut content = String::new();
    loop {
        match exchange.events.recv().await {
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
            None => return Err(generation_ended()),
        }
    }
}

/// Waits for the first event before the response begins, so that an early failure gets its own HTTP status.
async fn answer_streamed(mut exchange: ChatExchange) -> Result<Response<AnswerBody>, CallerError> {
    let first = match exchange.events.recv().await {
        Some(GenerationEvent::Failed(error)) => return Err(error),
        Some(first) => first,
        None => return Err(generation_ended()),
    };
    let id = exchange.id;
    let rest = stream::unfold(Some(exchange.events), |events| async move {
        let mut events = events?;
        match events.recv().await {
            Some(GenerationEvent::Token { index, text }) => {
                Some((GenerationEvent::Token { index, text }, Some(events)))
            }
            Some(last) => Some((last, None)),
            None => Some((GenerationEvent::Failed(generation_ended()), None)),
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
        GenerationEvent::Token { index, text } => render_sse(&ChatChunk {
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
            Bytes::from([render_sse(&last), Bytes::from_static(b"data: [DONE]\n\n")].concat())
        }
        GenerationEvent::Failed(error) => render_sse(&error.to_answer()),
    }
}

/// Renders a value as the data of one server-sent event.
fn render_sse<T: Serialize>(value: &T) -> Bytes {
    let text = serde_json::to_string(value).expect("map keys in answers are strings");
    Bytes::from(format!("data: {text}\n\n"))
}
