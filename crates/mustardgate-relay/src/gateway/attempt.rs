//! One attempt at one runner, up to the head of its answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Uri, body::Incoming, http::response};
use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::{BackendId, ServiceId},
    relay::{AdmissionQuery, RefusalCause, RelayRequest, RelayRoute, runner_rank},
    verdict::RunVerdict,
};
use slog::o;
use smol_str::SmolStr;

use super::headers::remove_hop_fields;
use crate::{
    client::{RunnerConnection, SendFailure},
    context::{AdapterUse, RelayContext},
    fleet::{AttemptOutcome, RunnerPick, RunnerTicket, SelectionError, SelectionQuery},
    leader::request_adapter,
    ports::{AnswerKind, AnswerMarks, AttemptMarks},
};

/// Time between two looks for room.
const QUEUE_LOOK: Duration = Duration::from_millis(25);
/// Time kept back from the runner's deadline for the way back to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(5);
/// Expected requests at a runner below which its time to a first event is that of an idle one.
const IDLE_LOAD: f64 = 0.5;
/// Runners that are asked to load an adapter for one request.
const ADAPTER_TRIES: usize = 3;
/// Longest wait for a leader to load an adapter.
const ADAPTER_WAIT: Duration = Duration::from_millis(250);

/// A request that was received whole.
#[derive(Debug)]
pub(super) struct ReceivedRequest {
    pub(super) context: Arc<RelayContext>,
    pub(super) route: Arc<RelayRoute>,
    pub(super) service: ServiceId,
    pub(super) request: RelayRequest,
    pub(super) head: hyper::http::request::Parts,
    pub(super) body: Bytes,
    /// When the caller must have its final answer.
    pub(super) expires_at: Instant,
    pub(super) is_sampled: bool,
    /// Shortest target latency of the routes to the same service.
    pub(super) urgent_target: Duration,
}

/// The head of an answer, with everything that its body needs.
#[derive(Debug)]
pub(super) struct OpenAnswer {
    pub(super) ticket: RunnerTicket,
    pub(super) connection: RunnerConnection,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) marks: AnswerMarks,
    pub(super) _adapter_use: Option<AdapterUse>,
}

/// Why an attempt brought no head that can be passed on.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AttemptError {
    /// Runner that was tried, if one was chosen.
    pub(super) backend: Option<BackendId>,
    pub(super) verdict: RunVerdict,
    pub(super) cause: RefusalCause,
    pub(super) reason: SmolStr,
    pub(super) is_timeout: bool,
}

impl AttemptError {
    fn unplaced(cause: RefusalCause) -> Self {
        Self {
            backend: None,
            verdict: RunVerdict::NotRun,
            cause,
            reason: "unplaced".into(),
            is_timeout: false,
        }
    }

    fn at(backend: &BackendId, verdict: RunVerdict, reason: &str) -> Self {
        Self {
            backend: Some(backend.clone()),
            verdict,
            cause: RefusalCause::AttemptsUsedUp,
            reason: reason.into(),
            is_timeout: false,
        }
    }
}

impl ReceivedRequest {
    /// Chooses a runner that was not tried yet and has the adapter that the request names, loading it where needed.
    pub(super) async fn choose(&self, tried: &[BackendId]) -> Result<RunnerPick, AttemptError> {
        let mut excluded = tried.to_vec();
        for _ in 0..ADAPTER_TRIES {
            let query = SelectionQuery {
                service: &self.service,
                request: &self.request,
                excluded: &excluded,
            };
            let pick = match self.select(&query).await {
                Ok(pick) => pick,
                Err(error) if excluded.len() == tried.len() => return Err(AttemptError::unplaced(error.cause)),
                Err(_) => break,
            };
            let (Some(name), true) = (&self.request.model, pick.candidate.lacks_adapter) else {
                return Ok(pick);
            };
            let backend = pick.cell.listed().id.clone();
            let left = self.expires_at.saturating_duration_since(clock::now());
            let asking = request_adapter(&self.context, &self.service, &backend, name);
            let asked = tokio::time::timeout(ADAPTER_WAIT.min(left), asking).await;
            if asked.unwrap_or(false) {
                pick.cell.record_adapter_loaded(name);
                return Ok(pick);
            }
            excluded.push(backend);
        }
        Err(AttemptError::unplaced(RefusalCause::AdapterAbsent))
    }

    /// Chooses a runner that could begin in time, waiting a little for one.
    async fn select(&self, query: &SelectionQuery<'_>) -> Result<RunnerPick, SelectionError> {
        loop {
            let now = clock::now();
            let pick = self.context.fleet.select(now, query)?;
            let admission = AdmissionQuery {
                wait: pick.candidate.wait,
                elapsed: now.saturating_duration_since(self.request.received_at),
                target: self.route.target_latency,
                urgent_target: self.urgent_target,
            };
            let gate = &self.context.gate;
            if !self.route.is_stream || gate.admits(&admission) {
                return Ok(pick);
            }
            if admission.elapsed + QUEUE_LOOK > gate.max_queue_time(&admission) {
                return Err(SelectionError {
                    cause: RefusalCause::Overloaded,
                });
            }
            tokio::time::sleep(QUEUE_LOOK).await;
        }
    }

    /// Sends the request to the chosen runner and reads the head of its answer.
    pub(super) async fn open(
        &self,
        pick: &RunnerPick,
        resume_after: Option<SmolStr>,
    ) -> Result<OpenAnswer, AttemptError> {
        let cell = &pick.cell;
        let listed = cell.listed();
        let mut ticket = cell.begin(&self.request);
        self.log_sent(pick);
        let name = self.request.model.as_ref();
        let adapter_use = name.and_then(|name| self.context.demand.record_adapter(&listed.id, name));
        let left = self.expires_at.saturating_duration_since(clock::now());
        let sent_at = clock::now();
        let outcome = async {
            let mut connection = cell.pool.take(left).await?;
            let left = self.expires_at.saturating_duration_since(clock::now());
            let request = self.outgoing(&listed.id, left, resume_after);
            let answer = connection.send(request, left).await?;
            Ok::<_, SendFailure>((connection, answer))
        };
        let (connection, answer) = outcome.await.map_err(|failure| {
            ticket.set_outcome(match failure {
                SendFailure::NotConnected => AttemptOutcome::Unreachable,
                SendFailure::NotSent => AttemptOutcome::Neutral,
                SendFailure::Broken | SendFailure::TimedOut => AttemptOutcome::Failed,
            });
            AttemptError {
                is_timeout: failure == SendFailure::TimedOut,
                ..AttemptError::at(&listed.id, failure.verdict(), &failure.to_string())
            }
        })?;
        let (head, body) = answer.into_parts();
        let marks = self.context.ports.dialect.read_answer(&head, &self.request.id);
        if let Some(load) = marks.load {
            cell.report_load(clock::now(), load);
        }
        self.check_head(&mut ticket, &head, &marks)?;
        ticket.record_first_token();
        let elapsed = clock::now().saturating_duration_since(sent_at);
        self.log_head(pick, elapsed, &marks);
        if self.route.is_stream && pick.candidate.load < IDLE_LOAD {
            self.context.demand.record_first_event(&self.service, elapsed);
        }
        Ok(OpenAnswer {
            ticket,
            connection,
            head,
            body,
            marks,
            _adapter_use: adapter_use,
        })
    }

    /// Refuses heads that are not this request's answer, or that say that it did not run.
    fn check_head(
        &self,
        ticket: &mut RunnerTicket,
        head: &response::Parts,
        marks: &AnswerMarks,
    ) -> Result<(), AttemptError> {
        let backend = ticket.cell().listed().id.clone();
        match marks.kind {
            AnswerKind::Outcome => {}
            AnswerKind::Foreign => {
                ticket.set_outcome(AttemptOutcome::Failed);
                return Err(AttemptError::at(&backend, RunVerdict::MayHaveRun, "other_request"));
            }
            AnswerKind::Misdirected | AnswerKind::NotRun => {
                ticket.discard_wait();
                let is_full = marks.load.is_none_or(|load| load.running >= load.slots);
                if marks.kind == AnswerKind::Misdirected || !is_full {
                    // A runner that refuses while it has places is about to drop the model, or still loads it.
                    self.note_misdirected(ticket, marks);
                }
                let reason = format!("not_run_{}", head.status.as_u16());
                return Err(AttemptError::at(&backend, RunVerdict::NotRun, &reason));
            }
        }
        if head.status.is_success() && (!marks.is_sealed || marks.is_encoded) {
            ticket.set_outcome(AttemptOutcome::Failed);
            return Err(AttemptError::at(&backend, RunVerdict::MayHaveRun, "unsealed"));
        }
        Ok(())
    }

    /// Learns that a runner lacks the model, or that its address belongs to another one now.
    fn note_misdirected(&self, ticket: &mut RunnerTicket, marks: &AnswerMarks) {
        let is_meant = marks.backend.as_ref().is_none_or(|id| *id == ticket.cell().listed().id);
        match &self.request.model {
            Some(name) if is_meant => ticket.cell().record_absent(clock::now(), name),
            _ => ticket.set_outcome(AttemptOutcome::Unreachable),
        }
    }

    fn outgoing(&self, backend: &BackendId, left: Duration, resume_after: Option<SmolStr>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query().cloned();
        *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
        let headers = request.headers_mut();
        *headers = self.head.headers.clone();
        remove_hop_fields(headers);
        let marks = AttemptMarks {
            backend: backend.clone(),
            time_left: left.saturating_sub(RETURN_MARGIN).max(Duration::from_millis(1)),
            rank: runner_rank(&self.route),
            resume_after,
        };
        self.context.ports.dialect.mark_attempt(headers, &marks);
        request
    }

    fn log_head(&self, pick: &RunnerPick, elapsed: Duration, marks: &AnswerMarks) {
        if !self.is_sampled {
            return;
        }
        let load = marks.load.unwrap_or_default();
        let values = o!(
            "waiting" => load.waiting,
            "running" => load.running,
            "head_ms" => elapsed.as_millis() as u64,
            "backend" => pick.cell.listed().id.to_string(),
        );
        self.context
            .log
            .write(events::RELAY_ANSWER_BEGUN, &self.request.id, values);
    }

    fn log_sent(&self, pick: &RunnerPick) {
        if !self.is_sampled {
            return;
        }
        let values = o!(
            "lacks_adapter" => pick.candidate.lacks_adapter,
            "failure_ratio" => pick.candidate.failure_ratio,
            "unread_share" => pick.candidate.uncached_share,
            "wait_ms" => pick.candidate.wait.as_millis() as u64,
            "load" => pick.candidate.load,
            "backend" => pick.cell.listed().id.to_string(),
        );
        self.context
            .log
            .write(events::RELAY_ATTEMPT_SENT, &self.request.id, values);
    }
}
