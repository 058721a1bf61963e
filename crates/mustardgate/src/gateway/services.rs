//! Calls to plain services.

use std::{sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use mustardgate_core::{clock, verdict::RunVerdict};
use mustardgate_protocol::callers::{SERVICES_PREFIX, VERDICT_HEADER};

use super::{
    errors::CallerError,
    keyed::run_keyed,
    request::{read_body, read_deadline, read_idempotency_key, set_request_id},
    tenants::authenticate,
};
use crate::{
    backends::PlainCall,
    context::NodeContext,
    dispatch::{CallJob, JobOrigin, run_call},
    http::{AnswerBody, HttpReply, bytes_answer},
    telemetry::RequestLabels,
};

/// Time after which a caller may retry when the task that runs its call ended unexpectedly.
const TASK_ENDED_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) async fn answer_call(
    context: Arc<NodeContext>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallerError> {
    let job = read_call(&context, request).await?;
    let labels = RequestLabels {
        tenant: job.origin.tenant.clone(),
        class: job.origin.class,
    };
    let (job, result) = run_detached(context, job).await?;
    let elapsed = clock::now() - job.origin.arrived;
    match result {
        Ok(reply) => {
            labels.record_answer("ok", RunVerdict::Ran, elapsed);
            Ok(render_reply(reply, &job.call))
        }
        Err(error) => {
            labels.record_answer(error.code(), error.verdict(), elapsed);
            Err(error)
        }
    }
}

/// Runs the call in a task of its own, because a caller that disconnects must not end a call that may be running.
async fn run_detached(
    context: Arc<NodeContext>,
    job: CallJob,
) -> Result<(CallJob, Result<HttpReply, CallerError>), CallerError> {
    let guard = context.drain.track_request();
    let task = tokio::spawn(async move {
        let result = run_with_key(&context, &job).await;
        drop(guard);
        (job, result)
    });
    task.await.map_err(|_error| CallerError::AttemptsFailed {
        reason: "the task that runs the call ended unexpectedly".to_owned(),
        verdict: RunVerdict::MayHaveRun,
        retry_after: TASK_ENDED_RETRY_AFTER,
    })
}

/// Runs the call under its idempotency key, if it has one.
async fn run_with_key(context: &NodeContext, job: &CallJob) -> Result<HttpReply, CallerError> {
    match job.call.key.clone() {
        Some(key) => run_keyed(context, job, key).await,
        None => run_call(context, job).await,
    }
}

async fn read_call(context: &NodeContext, request: Request<Incoming>) -> Result<CallJob, CallerError> {
    let arrived = clock::now();
    let (head, body) = request.into_parts();
    let scope = authenticate(context, &head.headers)?;
    let deadline = read_deadline(&head.headers, &context.settings.callers)?;
    let key = read_idempotency_key(&head.headers)?;
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (service, path) = rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash));
    let spec = scope.service(service)?;
    let caller_slot = head.extensions.get().cloned().unwrap_or_default();
    let body = read_body(body, &caller_slot, context)
        .await
        .map_err(|error| without_key_verdict(error, key.is_some()))?;
    let origin = JobOrigin {
        request: context.identifiers.next(),
        tenant: scope.tenant.clone(),
        weight: scope.weight(),
        class: spec.priority,
        arrived,
        deadline,
        bytes: body.len(),
    };
    let call = PlainCall {
        method: head.method.clone(),
        path: path.to_owned(),
        content_type: head.headers.get(CONTENT_TYPE).cloned(),
        body,
        request: origin.request.clone(),
        key,
    };
    let is_idempotent = spec.is_idempotent_call(head.method.as_str(), path);
    Ok(CallJob {
        origin,
        service: service.into(),
        is_idempotent,
        call,
    })
}

/// Returns the error of a call that was refused before its key was looked up: an earlier delivery may have run.
fn without_key_verdict(error: CallerError, has_key: bool) -> CallerError {
    match error {
        CallerError::Stopping { .. } | CallerError::NoRoom { .. } if has_key => {
            error.with_verdict(RunVerdict::MayHaveRun)
        }
        error => error,
    }
}

/// Returns the response to the caller for the service's answer.
fn render_reply(reply: HttpReply, call: &PlainCall) -> Response<AnswerBody> {
    let content_type = reply.headers.get(CONTENT_TYPE).cloned();
    let mut response = bytes_answer(reply.status, content_type, reply.body);
    let headers = response.headers_mut();
    set_request_id(headers, &call.request);
    headers.insert(HeaderName::from_static(VERDICT_HEADER), HeaderValue::from_static("ran"));
    response
}
