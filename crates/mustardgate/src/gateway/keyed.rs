//! Calls with an idempotency key.

use std::{hash::Hasher, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use mustardgate_core::{
    clock,
    idempotency::{KeyId, KeyRefusal, KeyRequest},
    ids::IdempotencyKey,
    log::StoredAnswer,
    verdict::RunVerdict,
};
use xxhash_rust::xxh3::Xxh3;

use super::errors::CallerError;
use crate::{
    context::NodeContext,
    dispatch::{CallJob, call_time, run_call},
    http::HttpReply,
    keys::KeyDecision,
};

/// Time after which a caller may retry when the record of its key holds no answer.
const NO_ANSWER_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Runs a call with an idempotency key, or answers it from the record of the key.
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
    // No claim is written for a call that could not be sent any more.
    let answer_time = call_time(context, job);
    let stopping = |retry_after| CallerError::Stopping {
        verdict: RunVerdict::MayHaveRun,
        retry_after,
    };
    context.drain.check_time_left(answer_time).map_err(stopping)?;
    // A claim that is read back too late to be sent is still waited for, so that its key is released.
    let decision = tokio::select! {
        decision = context.keys.decide(request) => decision,
        retry_after = context.drain.too_late(Duration::ZERO) => return Err(stopping(retry_after)),
    };
    match decision {
        KeyDecision::Dispatch => dispatch_keyed(context, job, &id).await,
        KeyDecision::Answer {
            verdict: RunVerdict::Ran,
            answer: Some(answer),
        } => Ok(reply_from_stored(answer)),
        KeyDecision::Answer { verdict, .. } => Err(CallerError::KeyUnresolved {
            reason: "no answer is stored for this key".to_owned(),
            verdict,
            retry_after: NO_ANSWER_RETRY_AFTER,
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
        // Nothing was sent, so the key is released and the caller may retry with the same key.
        context.keys.release(id, &job.origin.request);
        return result.map_err(|error| error.with_verdict(RunVerdict::MayHaveRun));
    }
    let (verdict, answer) = match &result {
        Ok(reply) => (RunVerdict::Ran, stored_answer(reply)),
        Err(error) => (error.verdict(), None),
    };
    let key_verdict = context.keys.finish(id, &job.origin.request, verdict, answer);
    result.map_err(|error| error.with_verdict(key_verdict))
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

/// Returns the answer to store for the key, or `None` when its body is not UTF-8 text.
fn stored_answer(reply: &HttpReply) -> Option<StoredAnswer> {
    let body = String::from_utf8(reply.body.to_vec()).ok()?;
    let content_type = reply.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    Some(StoredAnswer {
        status: reply.status.as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body,
    })
}

fn reply_from_stored(answer: StoredAnswer) -> HttpReply {
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
        head_at: clock::now(),
    }
}
