//! Answers that are received whole before they are passed on, so that a broken one can still be told honestly.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH},
    http::response,
};
use mustardgate_core::{clock, ids::BackendId, relay::RefusalCause, retry::AttemptPlan, verdict::RunVerdict};

use super::{
    answer::{RelayBody, whole_body},
    attempt::{AttemptError, OpenAnswer, ReceivedRequest},
    exchange::finish_runner,
    headers::remove_hop_fields,
    stream::StreamRelay,
};
use crate::fleet::AttemptOutcome;

/// Longest answer that is received whole before it is passed on, in bytes.
const MAX_WHOLE_ANSWER: usize = 4 * 1024 * 1024;

/// What became of an answer whose head was good.
pub(super) enum Passed {
    Answered(Response<RelayBody>),
    Failed {
        received: Box<ReceivedRequest>,
        plan: AttemptPlan,
        error: AttemptError,
        /// The runner's own failure, which is passed on if no other runner does better.
        response: Option<Response<RelayBody>>,
    },
}

pub(super) async fn pass_on(received: ReceivedRequest, plan: AttemptPlan, open: OpenAnswer) -> Passed {
    if received.route.is_stream && open.head.status.is_success() {
        return Passed::Answered(StreamRelay::start(received, plan, open));
    }
    let OpenAnswer {
        mut ticket,
        connection,
        head,
        body,
        marks,
        ..
    } = open;
    let backend = ticket.cell().listed().id.clone();
    let left = received.expires_at.saturating_duration_since(clock::now());
    let collecting = Limited::new(body, MAX_WHOLE_ANSWER).collect();
    let collected = match tokio::time::timeout(left, collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(("broken_answer", false)),
        Err(_) => Err(("timed_out", true)),
    };
    let is_retryable = head.status.is_server_error() && received.route.repeat.is_idempotent();
    let content = match collected {
        Ok(content) => content,
        Err((reason, is_timeout)) => {
            ticket.set_outcome(AttemptOutcome::Failed);
            let error = uncertain(backend, reason, is_timeout);
            return Passed::Failed {
                received: Box::new(received),
                plan,
                error,
                response: None,
            };
        }
    };
    let is_failure = head.status.is_server_error();
    ticket.set_outcome(if is_failure {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    });
    if !closes(&head.headers) {
        ticket.cell().pool.give_back(connection, stated_idle(&head.headers));
    }
    if is_retryable {
        let error = uncertain(backend, &format!("status_{}", head.status.as_u16()), false);
        let is_own = marks.is_sealed && !is_promise(head.status);
        let response = is_own.then(|| runner_response(&received.head.method, head, content));
        return Passed::Failed {
            received: Box::new(received),
            plan,
            error,
            response,
        };
    }
    // A promise not to have run is only passed on where the runner marked it, and then it is not passed on at all.
    if is_promise(head.status) || !marks.is_sealed {
        let error = uncertain(backend, "unmarked_refusal", false);
        return Passed::Failed {
            received: Box::new(received),
            plan,
            error,
            response: None,
        };
    }
    finish_runner(&received, head.status);
    Passed::Answered(runner_response(&received.head.method, head, content))
}

fn runner_response(method: &Method, head: response::Parts, content: Bytes) -> Response<RelayBody> {
    let mut response = Response::new(whole_body(content));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    let length = response.headers().get(CONTENT_LENGTH).cloned();
    remove_hop_fields(response.headers_mut());
    if let (&Method::HEAD, Some(length)) = (method, length) {
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}

fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

pub(super) fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Returns the time for which the runner keeps an idle connection, as its `Keep-Alive` field states.
pub(super) fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn uncertain(backend: BackendId, reason: &str, is_timeout: bool) -> AttemptError {
    AttemptError {
        backend: Some(backend),
        verdict: RunVerdict::MayHaveRun,
        cause: RefusalCause::AttemptsUsedUp,
        reason: reason.into(),
        is_timeout,
    }
}
