//! Sends requests of nodes that are cut off to the runners that they chose.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
};
use metrics::counter;
use mustardgate::{
    buffers::{CollectError, collect_bytes},
    drain::InFlightGuard,
};
use mustardgate_core::{
    buffers::BufferSource,
    clock,
    relay::{ListedRunner, is_final_status},
};
use tokio::time;

use super::{
    check::{is_link_sound, probe_runner},
    headers::{ForwardRefusal, ForwardRequest, ForwardVerdict},
    process::{RunnerTarget, connect_runner_process},
};
use crate::{
    client::{RunnerConnection, SendFailure},
    context::RelayContext,
    fleet::RunnerCell,
    gateway::{
        BrokenAnswer, RelayBody, closes_connection, discard_body, full_body, is_framed, keep_alive_timeout,
        remove_hop_by_hop_headers, runner_time, take_passed_credentials,
    },
    leader::request_permit,
    ports::{AnswerKind, AnswerMetadata},
};

/// Largest number of requests that a node passes on for others at once; its own callers need the rest of it.
const MAX_FORWARDED: usize = 256;
/// Largest body, in bytes; the first node has checked the configured limit.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Returns whether a request of another node is one that this node shall pass on.
pub fn is_forwarded(request: &Request<Incoming>) -> bool {
    ForwardRequest::is_in(request.headers())
}

/// Counts a request that is passed on, until it is dropped.
#[derive(Debug)]
struct ForwardSlot {
    forwarded: Arc<AtomicUsize>,
    _in_flight: InFlightGuard,
}

impl Drop for ForwardSlot {
    fn drop(&mut self) {
        self.forwarded.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends a request to the runner that another node chose, and returns the runner's answer.
pub async fn answer_forwarded(context: Arc<RelayContext>, request: Request<Incoming>) -> Response<RelayBody> {
    let slot = ForwardSlot {
        forwarded: Arc::clone(&context.forwarded),
        _in_flight: context.drain.track_request(),
    };
    let load = context.forwarded.fetch_add(1, Ordering::Relaxed) + 1;
    let is_sent = AtomicBool::new(false);
    let sending = send(&context, request, load, slot, &is_sent);
    let outcome = context.drain.unless_aborted(sending).await.unwrap_or_else(|| {
        Err(if is_sent.load(Ordering::Relaxed) {
            ForwardVerdict::Broken { is_timeout: true }
        } else {
            ForwardVerdict::Refused(ForwardRefusal::Unavailable)
        })
    });
    let label = match &outcome {
        Ok(_) => "answered",
        Err(ForwardVerdict::Refused(_)) => "refused",
        Err(_) => "broken",
    };
    counter!("mustardgate_requests_forwarded_total", "outcome" => label).increment(1);
    outcome.unwrap_or_else(|verdict| {
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        verdict.write(response.headers_mut(), load);
        response
    })
}

async fn send(
    context: &Arc<RelayContext>,
    request: Request<Incoming>,
    load: usize,
    slot: ForwardSlot,
    is_sent: &AtomicBool,
) -> Result<Response<RelayBody>, ForwardVerdict> {
    let refused = ForwardVerdict::Refused;
    let (mut head, mut body) = request.into_parts();
    let forwarded = ForwardRequest::take(&mut head.headers).ok_or(refused(ForwardRefusal::Withheld))?;
    let ends_at = time::Instant::now() + forwarded.time_left;
    if context.drain.is_draining() || context.link.is_cut() || load > MAX_FORWARDED {
        // A refusal before the whole request was read might be lost in the reset that follows it.
        discard_body(&mut body, MAX_BODY_BYTES, forwarded.time_left).await;
        return Err(refused(ForwardRefusal::Unavailable));
    }
    let buffers = context.buffers.guard(BufferSource::Callers);
    let collecting = collect_bytes(&mut body, MAX_BODY_BYTES, buffers);
    let bytes = match time::timeout_at(ends_at, collecting).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(CollectError::NoRoom { .. })) => {
            let time_left = ends_at.saturating_duration_since(time::Instant::now());
            discard_body(&mut body, MAX_BODY_BYTES, time_left).await;
            return Err(refused(ForwardRefusal::Unavailable));
        }
        _ => return Err(refused(ForwardRefusal::Withheld)),
    };
    let cell = context.fleet.get(&forwarded.backend);
    let cell = cell.filter(|cell| cell.listed().started_at_ms == forwarded.started_at_ms && cell.is_in_service());
    let cell = cell.ok_or(refused(ForwardRefusal::Withheld))?;
    if forwarded.is_own_question() {
        return answer_question(context, &cell, load).await;
    }
    if let Some(delay) = cell.hold_left(clock::now()) {
        return Err(refused(ForwardRefusal::Held(delay)));
    }
    let mut connection = connect(context, &cell, &forwarded).await?;
    let sent_at = clock::now();
    let time_left = context.within_stop(ends_at.saturating_duration_since(time::Instant::now()));
    let mut runner_request = Request::new(Full::new(bytes));
    *runner_request.method_mut() = head.method;
    *runner_request.uri_mut() = head.uri;
    *runner_request.headers_mut() = head.headers;
    remove_hop_by_hop_headers(runner_request.headers_mut());
    let dialect = &context.ports.dialect;
    if let Some(tenant) = take_passed_credentials(context, runner_request.headers_mut()) {
        dialect.write_tenant(runner_request.headers_mut(), &tenant);
    }
    dialect.write_time_left(runner_request.headers_mut(), runner_time(time_left));
    let awaited = context.link.await_answer();
    is_sent.store(true, Ordering::Relaxed);
    let answer = connection.send(runner_request, time_left).await;
    drop(awaited);
    let answer = match answer {
        Ok(answer) => answer,
        Err(SendFailure::NotSent | SendFailure::NoRunner) => return Err(refused(ForwardRefusal::NotConnected)),
        Err(SendFailure::TimedOut) => return Err(ForwardVerdict::Broken { is_timeout: true }),
        Err(_) => {
            cell.pool.record_loss();
            let is_crashed =
                cell.is_in_service() && cell.is_process_gone().await && is_link_sound(context, &cell).await;
            return Err(if is_crashed {
                ForwardVerdict::Crashed
            } else {
                ForwardVerdict::Broken { is_timeout: false }
            });
        }
    };
    context.link.record_contact(false);
    let (head, body) = answer.into_parts();
    if !is_final_status(head.status.as_u16()) {
        return Err(ForwardVerdict::Broken { is_timeout: false });
    }
    let metadata = context.ports.dialect.read_answer(&head, &forwarded.request);
    let metadata = metadata.bound_by(connection.is_first_answer());
    record_answer(context, &cell, &metadata, sent_at);
    if metadata.kind == AnswerKind::OtherRequest {
        context.record_dropped_answer(&forwarded.backend, &forwarded.request, head.status, metadata.name);
        // The connection is closed, which ends the runner's work: its own answer would be read for the next request.
        return Err(ForwardVerdict::Broken { is_timeout: false });
    }
    let answer = ForwardedAnswer {
        context: Arc::clone(context),
        cell,
        connection: Some(connection),
        // After a refusal the runner may write more; the first node closes its connection then as well.
        is_kept: metadata.kind == AnswerKind::Outcome && !closes_connection(&head.headers),
        keep_alive: keep_alive_timeout(&head.headers),
        body,
        _slot: slot,
    };
    let mut response = Response::new(answer.into_body());
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    let is_framed = is_framed(response.headers());
    remove_hop_by_hop_headers(response.headers_mut());
    ForwardVerdict::Answered { is_framed }.write(response.headers_mut(), load);
    Ok(response)
}

/// Answers another node that asks whether this one reaches a runner. That costs the runner no permit and no place.
async fn answer_question(
    context: &RelayContext,
    cell: &RunnerCell,
    load: usize,
) -> Result<Response<RelayBody>, ForwardVerdict> {
    if !probe_runner(context, cell).await {
        return Err(ForwardVerdict::Refused(ForwardRefusal::NotConnected));
    }
    let mut response = Response::new(full_body(Bytes::new()));
    ForwardVerdict::Answered { is_framed: true }.write(response.headers_mut(), load);
    Ok(response)
}

/// Obtains a connection and what the send needs besides; the same checks hold as for own requests.
async fn connect(
    context: &RelayContext,
    cell: &Arc<RunnerCell>,
    forwarded: &ForwardRequest,
) -> Result<RunnerConnection, ForwardVerdict> {
    let target = RunnerTarget {
        cell,
        needs_process: forwarded.needs_process,
        time_left: forwarded.time_left,
    };
    let taken = connect_runner_process(context, target).await.map_err(|failure| {
        if failure == SendFailure::NotConnected {
            context.link.record_failure(&cell.listed().id);
            return ForwardVerdict::Refused(ForwardRefusal::NotConnected);
        }
        ForwardVerdict::Refused(ForwardRefusal::Withheld)
    })?;
    let is_refused = if !cell.is_in_service() {
        Some(ForwardRefusal::Withheld)
    } else if let Err(delay) = request_permit(context, &cell.listed()).await {
        cell.hold(clock::now() + delay);
        Some(ForwardRefusal::Held(delay))
    } else {
        // A stop that began meanwhile would end the answer with this node.
        context.drain.is_draining().then_some(ForwardRefusal::Unavailable)
    };
    let Some(refusal) = is_refused else {
        return Ok(taken.connection);
    };
    cell.pool.give_back(taken.connection, None);
    Err(ForwardVerdict::Refused(refusal))
}

/// Records what the answer says of the runner; it binds this node, whoever asked.
fn record_answer(context: &RelayContext, cell: &RunnerCell, metadata: &AnswerMetadata, sent_at: std::time::Instant) {
    let listed: Arc<ListedRunner> = cell.listed();
    if let Some(load) = metadata.load {
        cell.report_load(clock::now(), load);
    }
    if metadata.is_from(&listed.id) {
        context.record_statements(&listed, metadata, sent_at);
    }
    if metadata.kind == AnswerKind::NotRun {
        context.record_rejection(cell);
    }
    if let (AnswerKind::NotRun | AnswerKind::Misdirected, Some(delay)) = (metadata.kind, metadata.retry_after) {
        context.record_hold(cell, delay);
    }
}

/// An answer of a runner on its way to the node that asked.
#[derive(Debug)]
struct ForwardedAnswer {
    context: Arc<RelayContext>,
    cell: Arc<RunnerCell>,
    connection: Option<RunnerConnection>,
    /// Whether the runner keeps the connection after this answer, and for how long if it says so.
    is_kept: bool,
    keep_alive: Option<Duration>,
    body: Incoming,
    _slot: ForwardSlot,
}

impl ForwardedAnswer {
    fn into_body(self) -> RelayBody {
        let frames = stream::unfold(self, |mut answer| async move {
            let frame = answer.next_frame().await?;
            Some((frame, answer))
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, BrokenAnswer>> {
        let awaited = self.context.link.await_answer();
        let frame = self.context.drain.unless_aborted(self.body.frame()).await;
        drop(awaited);
        let Some(frame) = frame else {
            return Some(Err(BrokenAnswer));
        };
        match frame {
            Some(Ok(frame)) => {
                self.context.link.record_contact(false);
                Some(Ok(frame))
            }
            Some(Err(_)) => {
                self.cell.pool.record_loss();
                Some(Err(BrokenAnswer))
            }
            None => {
                if let Some(connection) = self.connection.take().filter(|_| self.is_kept) {
                    self.cell.pool.give_back(connection, self.keep_alive);
                }
                None
            }
        }
    }
}
