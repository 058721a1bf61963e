//! Calls with an idempotency key.

use std::{hash::Hasher, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use mustardgate_core::{
    idempotency::{KeyId, KeyRefusal, KeyRequest},
    ids::IdempotencyKey,
    log::StoredAnswer,
    verdict::RunVerdict,
};
use xxhash_rust::xxh3::Xxh3;

use super::errors::CallerError;
use crate::{
    context::NodeContext,
    dispatch::{CallJob, run_call},
    http::HttpReply,
    keys::KeyDecision,
};

/// When a caller should come back whose node stopped before its key was decided.
const STOPPING_RETRY: Duration = Duration::from_secs(1);
/// When a caller should come back whose key ran and whose answer was not kept.
const NOT_KEPT_RETRY: Duration = Duration::from_secs(60);

/// Runs a call under its key, or answers from what the key's record says.
pub(super) async fn run_keyed(
    context: &NodeContext,
    job: &CallJob,
    key: IdempotencyKey,
) -> Result<HttpReply, CallerError> {
    let id = KeyId {
        tenant: job.origin.tenant.clone(),
        key,
    };
    let request = KeyRequest {
        id: id.clone(),
        digest: call_digest(job),
        request: job.origin.request.clone(),
        deadline: job.origin.deadline,
    };
    let cutting = context.drain.cutting();
    let decision = tokio::select! {
        decision = context.keys.decide(request) => decision,
        () = cutting.cancelled() => {
            return Err(CallerError::Stopping { verdict: RunVerdict::MayHaveRun, retry_after: STOPPING_RETRY });
        }
    };
    match decision {
        KeyDecision::Dispatch => dispatch_keyed(context, job, &id).await,
        KeyDecision::Answer {
            verdict: RunVerdict::Ran,
            answer: Some(answer),
        } => Ok(restore(answer)),
        KeyDecision::Answer { verdict, .. } => Err(CallerError::KeyUnresolved {
            reason: "no answer was kept under this key".to_owned(),
            verdict,
            retry_after: NOT_KEPT_RETRY,
        }),
        KeyDecision::Refuse {
            refusal: KeyRefusal::Conflict,
            verdict,
            ..
        } => Err(CallerError::KeyReused { verdict }),
        KeyDecision::Refuse {
            refusal,
            verdict,
            retry_after,
        } => Err(CallerError::KeyUnresolved {
            reason: refusal.to_string(),
            verdict,
            retry_after,
        }),
    }
}

async fn dispatch_keyed(context: &NodeContext, job: &CallJob, id: &KeyId) -> Result<HttpReply, CallerError> {
    let result = run_call(context, job).await;
    if let Err(error) = &result
        && error.verdict() == RunVerdict::NotRun
    {
        // Nothing was sent: the key is given back, so that the caller may come again with the same one.
        context.keys.give_up(id, &job.origin.request);
        return result.map_err(|error| error.with_verdict(RunVerdict::MayHaveRun));
    }
    let (verdict, answer) = match &result {
        Ok(reply) => (RunVerdict::Ran, store(reply)),
        Err(error) => (error.verdict(), None),
    };
    let told = context.keys.finish(id, &job.origin.request, verdict, answer);
    result.map_err(|error| error.with_verdict(told))
}

fn call_digest(job: &CallJob) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [
        job.service.as_bytes(),
        job.call.method.as_str().as_bytes(),
        job.call.path.as_bytes(),
        &job.call.body,
    ] {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}

/// Returns the answer as it is kept, or `None` when it is not text.
fn store(reply: &HttpReply) -> Option<StoredAnswer> {
    let body = String::from_utf8(reply.body.to_vec()).ok()?;
    let content_type = reply.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    Some(StoredAnswer {
        status: reply.status.as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body,
    })
}

fn restore(answer: StoredAnswer) -> HttpReply {
    let mut headers = HeaderMap::new();
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type)
        && !content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, content_type);
    }
    HttpReply {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        headers,
        body: Bytes::from(answer.body),
    }
}
