//! Calls to plain services.

use std::{sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use mustardgate_core::{
    clock,
    ids::BackendId,
    resources::{BackendRole, ResourceKind, ResourceSpec},
    verdict::RunVerdict,
};
use mustardgate_protocol::callers::{REQUEST_ID_HEADER, SERVICES_PREFIX, VERDICT_HEADER};

use super::{
    errors::CallerError,
    request::{read_body, read_deadline, read_key},
    tenants::{CallerScope, identify},
};
use crate::{
    backends::PlainCall,
    context::NodeContext,
    http::{AnswerBody, HttpReply, bytes_answer},
    telemetry::RequestLabels,
};

/// When a caller should come back after all attempts failed.
const FAILED_RETRY: Duration = Duration::from_secs(1);
/// Attempts of an idempotent call at most.
const MAX_ATTEMPTS: u32 = 3;

pub(super) async fn answer_call(
    context: Arc<NodeContext>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallerError> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let scope = identify(&context, &head.headers)?;
    let deadline = read_deadline(&head.headers, &context.settings.callers)?;
    let key = read_key(&head.headers)?;
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (service, path) = rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash));
    let spec = scope.service(service)?;
    let is_idempotent = spec.is_idempotent_call(head.method.as_str(), path);
    let labels = RequestLabels {
        tenant: scope.tenant.clone(),
        class: spec.priority,
    };
    let call = PlainCall {
        method: head.method,
        path: path.to_owned(),
        content_type: head.headers.get(CONTENT_TYPE).cloned(),
        body: read_body(body, &context.settings.callers).await?,
        request: context.identifiers.next(),
        key,
    };
    let timeout = deadline.saturating_duration_since(clock::now());
    let result = attempt_call(&context, &scope, service, &call, is_idempotent, timeout).await;
    let elapsed = clock::now() - arrived;
    match result {
        Ok(reply) => {
            labels.record_answer("ok", RunVerdict::Ran, elapsed);
            Ok(forward(reply, &call))
        }
        Err(error) => {
            labels.record_answer(error.code(), error.verdict(), elapsed);
            Err(error)
        }
    }
}

async fn attempt_call(
    context: &NodeContext,
    scope: &CallerScope,
    service: &str,
    call: &PlainCall,
    is_idempotent: bool,
    timeout: Duration,
) -> Result<HttpReply, CallerError> {
    let instances = instances_of(scope, service);
    let mut verdict = RunVerdict::NotRun;
    let mut reason = "no instance of the service is declared".to_owned();
    for (attempt, backend) in (1..=MAX_ATTEMPTS).zip(instances.iter().cycle()) {
        let address = context
            .addresses
            .read()
            .expect("no holder panics")
            .get(backend)
            .copied();
        let Some(address) = address else { continue };
        match context.plain_client.call(address, call, attempt, timeout).await {
            Ok(reply) => return Ok(reply),
            Err(error) => {
                verdict = verdict.combine(error.verdict());
                reason = error.to_string();
                if !verdict.permits_retry(is_idempotent) {
                    break;
                }
            }
        }
    }
    Err(CallerError::AttemptsFailed {
        reason,
        verdict,
        retry_after: FAILED_RETRY,
    })
}

fn instances_of(scope: &CallerScope, service: &str) -> Vec<BackendId> {
    let is_instance = |spec: &ResourceSpec| match spec {
        ResourceSpec::Backend(backend) => matches!(&backend.role, BackendRole::Plain(name) if name == service),
        _ => false,
    };
    let backends = scope.view.list(ResourceKind::Backend);
    backends
        .filter(|resource| is_instance(&resource.spec))
        .map(|resource| resource.key.name.clone())
        .collect()
}

fn forward(reply: HttpReply, call: &PlainCall) -> Response<AnswerBody> {
    let content_type = reply.headers.get(CONTENT_TYPE).cloned();
    let mut response = bytes_answer(reply.status, content_type, reply.body);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&call.request) {
        headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
    headers.insert(HeaderName::from_static(VERDICT_HEADER), HeaderValue::from_static("ran"));
    response
}
