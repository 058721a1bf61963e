//! The gateway, which answers the requests of callers.

mod chat;
mod errors;
mod keyed;
mod models;
mod request;
mod services;
mod tenants;

use std::sync::Arc;

use hyper::{
    Method, Request, Response, Version,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use mustardgate_protocol::callers::{CHAT_PATH, MODELS_PATH, SERVICES_PREFIX};
use slog::o;

pub use self::{
    errors::CallerError,
    request::{bearer_digest, key_digest},
};
use crate::{callers::CallerSlot, context::NodeContext, drain::InFlightGuard, events, http::AnswerBody};

/// Answers one request of a caller; every failure is answered with a typed error and its verdict.
pub async fn answer_caller(context: Arc<NodeContext>, request: Request<Incoming>) -> Response<AnswerBody> {
    let guard = context.drain.track_request();
    let (drain, version) = (context.drain.clone(), request.version());
    let caller_slot = request.extensions().get::<CallerSlot>().cloned();
    let mut response = answer_request(context, request, guard).await;
    let is_crowded = caller_slot.is_some_and(|slot| slot.is_crowded());
    // Callers with an open connection change to another node before this one closes it.
    if (is_crowded || drain.is_draining()) && version < Version::HTTP_2 {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer_request(
    context: Arc<NodeContext>,
    request: Request<Incoming>,
    guard: InFlightGuard,
) -> Response<AnswerBody> {
    let logger = context.logger.clone();
    match route(context, request, guard).await {
        Ok(response) => response,
        Err(error) => {
            events::REQUEST_FAILED.write(
                &logger,
                o!("code" => error.code(), "verdict" => error.verdict().to_string()),
            );
            error.to_response()
        }
    }
}

async fn route(
    context: Arc<NodeContext>,
    request: Request<Incoming>,
    guard: InFlightGuard,
) -> Result<Response<AnswerBody>, CallerError> {
    request::check_headers(request.headers(), &context.settings.callers)?;
    // The place of a connection covers one request; HTTP/2 has many at once.
    let _room = (request.version() >= Version::HTTP_2)
        .then(|| context.buffers.stream().map_err(|_no_room| request::no_room()))
        .transpose()?;
    let path = request.uri().path();
    if path == CHAT_PATH {
        require_method(request.method(), &Method::POST, "POST")?;
        return chat::answer_chat(context, request, guard).await;
    }
    if path == MODELS_PATH {
        require_method(request.method(), &Method::GET, "GET")?;
        return models::list_models(&context, request.headers());
    }
    if path.starts_with(SERVICES_PREFIX) {
        return services::answer_call(context, request).await;
    }
    Err(CallerError::UnknownPath)
}

fn require_method(method: &Method, allowed: &Method, name: &'static str) -> Result<(), CallerError> {
    if method == allowed {
        Ok(())
    } else {
        Err(CallerError::MethodNotAllowed { allowed: name })
    }
}
