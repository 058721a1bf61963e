//! The operators' listener: health, readiness, metrics and the resource API.

mod changes;
mod errors;
mod resources;
mod status;
mod watch;

use std::sync::Arc;

use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::AUTHORIZATION};
use metrics_exporter_prometheus::PrometheusHandle;
use mustardgate_core::resources::ResourceKind;
use mustardgate_protocol::operators::{API_PREFIX, STATUS_PATH};
use smol_str::SmolStr;

pub use self::{errors::OperatorError, status::readiness};
use crate::{
    context::NodeContext,
    gateway::key_digest,
    http::{AnswerBody, json_answer, text_answer},
    telemetry::publish_in_flight,
};

/// Path of the liveness check, which answers 200 as long as the process runs.
pub const HEALTH_PATH: &str = "/healthz";
/// Path of the readiness check, which answers 200 when the node accepts callers' requests, else 503 with the reasons.
pub const READY_PATH: &str = "/readyz";
/// Path of the metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";

/// State shared by the handlers of the operators' listener.
#[derive(Debug)]
pub struct OperatorContext {
    /// The node's context.
    pub node: Arc<NodeContext>,
    /// Renders the metrics in the Prometheus text format.
    pub metrics: PrometheusHandle,
    /// Digest of the operators' bearer key.
    pub key_digest: SmolStr,
}

/// Answers one request of an operator.
pub async fn answer_operator(context: Arc<OperatorContext>, request: Request<Incoming>) -> Response<AnswerBody> {
    match route(&context, request).await {
        Ok(response) => response,
        Err(error) => error.to_response(),
    }
}

async fn route(context: &OperatorContext, request: Request<Incoming>) -> Result<Response<AnswerBody>, OperatorError> {
    match request.uri().path() {
        HEALTH_PATH => return Ok(text_answer(StatusCode::OK, "ok\n")),
        READY_PATH => return Ok(answer_readiness(&context.node)),
        METRICS_PATH => {
            publish_in_flight(context.node.drain.in_flight());
            return Ok(text_answer(StatusCode::OK, context.metrics.render()));
        }
        _ => {}
    }
    authorise(context, request.headers())?;
    if request.uri().path() == STATUS_PATH {
        return Ok(json_answer(StatusCode::OK, &status::node_status(&context.node)));
    }
    route_resource(context, request).await
}

fn answer_readiness(node: &NodeContext) -> Response<AnswerBody> {
    let reasons = readiness(node);
    if reasons.is_empty() {
        return text_answer(StatusCode::OK, "ready\n");
    }
    text_answer(StatusCode::SERVICE_UNAVAILABLE, format!("{}\n", reasons.join("\n")))
}

/// Checks the bearer key; compares digests, so that the duration of the comparison reveals nothing about the key.
fn authorise(context: &OperatorContext, headers: &HeaderMap) -> Result<(), OperatorError> {
    let header = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let is_valid = key.is_some_and(|key| key_digest(key.trim()) == context.key_digest);
    if is_valid { Ok(()) } else { Err(OperatorError::WrongKey) }
}

async fn route_resource(
    context: &OperatorContext,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, OperatorError> {
    let path = request
        .uri()
        .path()
        .strip_prefix(API_PREFIX)
        .ok_or(OperatorError::UnknownPath)?;
    let (kind, name) = path
        .split_once('/')
        .map_or((path, None), |(kind, name)| (kind, Some(SmolStr::from(name))));
    let kind = ResourceKind::parse(kind).ok_or(OperatorError::UnknownPath)?;
    let node = &context.node;
    match (request.method().clone(), name) {
        (Method::GET, None) if watch::is_watch(request.uri()) => watch::watch_resources(node, kind, request.uri()),
        (Method::GET, None) => resources::list_resources(node, kind),
        (Method::GET, Some(name)) => resources::get_resource(node, kind, &name),
        (Method::PUT, Some(name)) => changes::put_resource(node, kind, name, request).await,
        (Method::DELETE, Some(name)) => changes::delete_resource(node, kind, name, &request).await,
        _ => Err(OperatorError::MethodNotAllowed),
    }
}
