//! Answers that are buffered completely before they are passed on, so that an incomplete one can still be retried or
//! reported as a failure.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH},
    http::response,
};
use mustardgate::buffers::{CollectError, collect_bytes};
use mustardgate_core::{clock, ids::BackendId, relay::HeadVerdict, retry::AttemptPlan, verdict::RunVerdict};

use super::{
    answer::{RelayBody, full_body},
    attempt::{OpenAnswer, ReceivedRequest},
    exchange::record_runner_answer,
    failure::AttemptError,
    grace::STOP_REASON,
    headers::remove_hop_by_hop_headers,
    oversized::{OVERSIZED_REASON, OversizedAnswer, log_oversized},
    retries::MIN_ATTEMPT_TIME,
    stream::StreamRelay,
};
use crate::{client::LastRead, fleet::AttemptOutcome, link::lost_answer};

/// Largest buffered answer.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Result of passing on an answer whose head was accepted.
pub(super) enum ForwardOutcome {
    Answered(Response<RelayBody>),
    Failed {
        received: Box<ReceivedRequest>,
        plan: AttemptPlan,
        error: AttemptError,
        /// The runner's own failure response, which is passed on if no other runner answers.
        response: Option<Response<RelayBody>>,
    },
}

pub(super) async fn forward_answer(received: ReceivedRequest, plan: AttemptPlan, open: OpenAnswer) -> ForwardOutcome {
    if open.verdict == HeadVerdict::Stream {
        return ForwardOutcome::Answered(StreamRelay::start(received, plan, open));
    }
    let OpenAnswer {
        mut ticket,
        connection,
        pool,
        helper,
        head,
        mut body,
        buffers,
        metadata,
        ..
    } = open;
    let backend = ticket.cell().listed().id.clone();
    let time_left = received.expires_at.saturating_duration_since(clock::now());
    let mut last_read = LastRead::default();
    let collecting = collect_bytes(&mut body, MAX_BUFFERED_BYTES, buffers);
    let may_move = helper.is_none() && plan.allows_another(clock::now(), MIN_ATTEMPT_TIME);
    let cell = Arc::clone(ticket.cell());
    let aborting = received.context.drain.aborting();
    let collected = tokio::select! {
        // An answer that is whole counts first.
        biased;
        collected = last_read.within(time_left, collecting) => match collected {
            Ok(Ok(content)) => Ok(content),
            Ok(Err(CollectError::Broken)) => Err(("broken_answer", false)),
            Ok(Err(CollectError::TooLong { bytes })) => {
                log_oversized(&received, &backend, OversizedAnswer::new("overlong_answer", bytes));
                Err((OVERSIZED_REASON, false))
            }
            Ok(Err(CollectError::NoRoom { bytes })) => {
                log_oversized(&received, &backend, OversizedAnswer::new("no_room", bytes));
                Err((OVERSIZED_REASON, false))
            }
            Err(_) => Err(("timed_out", true)),
        },
        () = lost_answer(&received.context, &cell, &received.request.id), if may_move => Err(("link_cut", false)),
        () = aborting.cancelled() => Err((STOP_REASON, true)),
    };
    let is_retryable = head.status.is_server_error() && received.route.repeat.is_idempotent();
    let content = match collected {
        Ok(content) => content,
        Err((reason, is_timeout)) => {
            ticket.set_outcome(AttemptOutcome::Failed);
            drop((ticket, connection));
            let inputs = received.digests.inputs();
            let is_fatal = !is_timeout
                && reason != OVERSIZED_REASON
                && helper.is_none()
                && tokio::select! {
                    verdict = received.record_crash(&cell, &inputs) => verdict.is_repeated(),
                    () = aborting.cancelled() => false,
                };
            let error = AttemptError {
                is_fatal,
                ..uncertain(&backend, reason, is_timeout)
            };
            return ForwardOutcome::Failed {
                received: Box::new(received),
                plan,
                error,
                response: None,
            };
        }
    };
    // The runner survived the request, whatever its answer says.
    received.context.crashes.record_sound(received.inputs());
    let is_failure = head.status.is_server_error();
    ticket.set_outcome(if is_failure {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Answered
    });
    if !closes_connection(&head.headers) {
        pool.give_back(connection, keep_alive_timeout(&head.headers));
    }
    if is_retryable {
        let error = uncertain(&backend, &format!("status_{}", head.status.as_u16()), false);
        let is_usable = metadata.is_sealed && !implies_not_run(head.status);
        let response = is_usable.then(|| runner_response(&received.head.method, head, content));
        return ForwardOutcome::Failed {
            received: Box::new(received),
            plan,
            error,
            response,
        };
    }
    // These statuses tell the caller that the request did not run. Where the runner marks that, the attempt has already
    // been handled as not run; without the mark, as without the seal, the request may have run.
    if implies_not_run(head.status) || !metadata.is_sealed {
        let error = uncertain(&backend, "unmarked_refusal", false);
        return ForwardOutcome::Failed {
            received: Box::new(received),
            plan,
            error,
            response: None,
        };
    }
    record_runner_answer(&received, head.status);
    ForwardOutcome::Answered(runner_response(&received.head.method, head, content))
}

fn runner_response(method: &Method, head: response::Parts, content: Bytes) -> Response<RelayBody> {
    let mut response = Response::new(full_body(content));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    let length = response.headers().get(CONTENT_LENGTH).cloned();
    remove_hop_by_hop_headers(response.headers_mut());
    if let (&Method::HEAD, Some(length)) = (method, length) {
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}

/// Returns whether a caller concludes from the status that the request did not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Returns whether the runner closes the connection after this answer.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Returns how long the runner keeps an idle connection, according to its `Keep-Alive` field.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns the error of an attempt that may have run.
fn uncertain(backend: &BackendId, reason: &str, is_timeout: bool) -> AttemptError {
    AttemptError {
        is_timeout,
        ..AttemptError::at_runner(backend, RunVerdict::MayHaveRun, reason)
    }
}
