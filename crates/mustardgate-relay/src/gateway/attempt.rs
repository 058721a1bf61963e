//! One attempt at one runner, up to the head of its answer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{body::Incoming, http::response};
use mustardgate::{buffers::BufferGuard, drain::InFlightGuard, events};
use mustardgate_core::{
    buffers::BufferSource,
    clock,
    ids::{BackendId, ServiceId},
    relay::{
        AnswerKind, AnswerStage, HeadFacts, HeadVerdict, RefusalCause, RelayRequest, RelayRoute, RelayTenant,
        RepeatPolicy, StreamProgress, UrgencyRank, VersionTag, is_final_status,
    },
    verdict::RunVerdict,
};
use slog::o;

use super::{
    digests::RequestDigests,
    failure::AttemptError,
    headers::is_event_stream,
    oversized::{OversizedAnswer, log_oversized},
    path::{OpenPath, ResumePoint},
    quota::QuotaHold,
};
use crate::{
    client::{ConnectionPool, MAX_BYTES_BEFORE_HEAD, RunnerConnection, SendFailure},
    context::{AdapterUseGuard, RelayContext},
    fleet::{AttemptOutcome, ForecastBasis, RunnerPick, RunnerTicket, SelectionQuery},
    leader::request_adapter,
    link::HelperUse,
    ports::AnswerMetadata,
};

/// Expected number of requests at a runner below which its time to the first token counts as that of an idle one.
const IDLE_LOAD: f64 = 0.5;
/// Largest number of runners on which an adapter load is requested for one request.
const MAX_ADAPTER_LOADS: usize = 3;
/// Longest wait for the leader to load an adapter.
const ADAPTER_LOAD_TIMEOUT: Duration = Duration::from_millis(250);

/// A completely received request.
#[derive(Debug)]
pub(super) struct ReceivedRequest {
    pub(super) context: Arc<RelayContext>,
    pub(super) route: Arc<RelayRoute>,
    pub(super) service: ServiceId,
    pub(super) request: RelayRequest,
    pub(super) head: hyper::http::request::Parts,
    pub(super) body: Bytes,
    /// Tenant whose key it carried, where tenants are declared.
    pub(super) tenant: Option<Arc<RelayTenant>>,
    /// What it uses of the tenant's quota, if there is one.
    pub(super) quota: Option<QuotaHold>,
    /// Identities by which a request that crashes runners is known.
    pub(super) digests: RequestDigests,
    /// Software version at which the stream goes on, once an event of it was passed on here or by another node.
    pub(super) version: Option<VersionTag>,
    /// Longest time until the caller may come back to a stream of the service.
    pub(super) stream_life: Duration,
    /// Time by which the caller must have its complete answer.
    pub(super) expires_at: Instant,
    /// When it was read completely, on the clock that counts suspensions.
    pub(super) read_at: Instant,
    /// Whether the attempt under way has reached the step from which on it may run.
    pub(super) is_sent: AtomicBool,
    /// Counts the request until its answer has ended.
    pub(super) _in_flight: InFlightGuard,
    pub(super) is_sampled: bool,
    /// Shortest target latency of the routes to the same service.
    pub(super) urgent_target: Duration,
    /// Most urgent kind of request of the routes to the same service.
    pub(super) most_urgent: UrgencyRank,
}

/// An answer whose head was received, with what is needed to read its body.
#[derive(Debug)]
pub(super) struct OpenAnswer {
    pub(super) ticket: RunnerTicket,
    pub(super) connection: RunnerConnection,
    /// Where the connection belongs after the answer.
    pub(super) pool: Arc<ConnectionPool>,
    /// The other node that passes the request on, if one does.
    pub(super) helper: Option<HelperUse>,
    /// What follows from its head.
    pub(super) verdict: HeadVerdict,
    pub(super) head: response::Parts,
    /// Whether the runner's body has a length or chunks, so that its end is known to be one.
    pub(super) is_framed: bool,
    pub(super) body: Incoming,
    /// Covers the bytes of it that are buffered.
    pub(super) buffers: BufferGuard,
    pub(super) metadata: AnswerMetadata,
    /// When the head was received.
    pub(super) started_at: Instant,
    /// What its admission was based on, if the load of its runner was known.
    pub(super) basis: Option<ForecastBasis>,
    pub(super) _adapter_use: Option<AdapterUseGuard>,
}

impl ReceivedRequest {
    /// Returns the progress of the stream before the answer to this request, which a runner of a version gives.
    pub(super) fn begin_progress(&self, version: VersionTag) -> StreamProgress {
        let known = self.context.streams.numbering(version);
        StreamProgress::new(self.request.last_event.clone(), known)
    }

    /// Chooses a runner that was not tried yet and holds the requested adapter, or has the adapter loaded on one.
    pub(super) async fn choose(&self, tried: &[BackendId]) -> Result<RunnerPick, AttemptError> {
        if let Some(cause) = self.quarantine() {
            return Err(AttemptError::unplaced(cause));
        }
        self.check_grace().map_err(AttemptError::unplaced)?;
        let mut excluded = tried.to_vec();
        let places = self.places();
        for _ in 0..MAX_ADAPTER_LOADS {
            let query = SelectionQuery {
                service: &self.service,
                request: &self.request,
                excluded: &excluded,
                version: self.version,
                target: self.route.target_latency,
                may_be_resumed: self.route.repeat == RepeatPolicy::Resumable && self.version.is_none(),
                places: places.as_deref(),
                forecast: None,
            };
            let pick = match self.select(&query).await {
                Ok(pick) => pick,
                Err(error) if excluded.len() == tried.len() => {
                    return Err(AttemptError {
                        retry_after: error.retry_after,
                        backlog_delay: error.shortage.and_then(|shortage| self.backlog_delay(&shortage)),
                        ..AttemptError::unplaced(error.cause)
                    });
                }
                Err(_) => break,
            };
            let (Some(name), true) = (&self.request.model, pick.candidate.lacks_adapter) else {
                return Ok(pick);
            };
            let backend = pick.cell.listed().id.clone();
            let time_left = self.expires_at.saturating_duration_since(clock::now());
            let loading = request_adapter(&self.context, &self.service, &backend, name);
            let loaded = tokio::time::timeout(ADAPTER_LOAD_TIMEOUT.min(time_left), loading).await;
            if loaded.unwrap_or(false) {
                pick.cell.record_adapter_loaded(name);
                return Ok(pick);
            }
            excluded.push(backend);
        }
        Err(AttemptError::unplaced(RefusalCause::AdapterAbsent))
    }

    /// Sends the request to the chosen runner and reads the head of its answer.
    pub(super) async fn open(&self, pick: &RunnerPick, resume: &ResumePoint) -> Result<OpenAnswer, AttemptError> {
        self.is_sent.store(false, Ordering::Relaxed);
        let cell = &pick.cell;
        let listed = cell.listed();
        let mut ticket = cell.begin(&self.request);
        // While an adapter was loaded, other requests may have taken the place.
        if !self.has_place(cell) {
            return Err(self.end_failed(&mut ticket, SendFailure::Withheld).await);
        }
        self.log_sent(pick);
        if pick.basis.is_some() {
            self.context.admission.record_sent(&self.work_key());
        }
        pick.record_sent();
        let name = self.request.model.as_ref();
        let adapter_use = name.and_then(|name| self.context.demand.record_adapter_use(&listed.id, name));
        let sent_at = clock::now();
        let OpenPath {
            connection,
            answer,
            is_framed,
            is_first_answer,
            pool,
            helper,
        } = match self.send(cell, resume).await {
            Ok(path) => path,
            Err(failure) => return Err(self.end_failed(&mut ticket, failure).await),
        };
        let (head, body) = answer.into_parts();
        let metadata = self.context.ports.dialect.read_answer(&head, &self.request.id);
        let metadata = metadata.bound_by(is_first_answer);
        let is_answer = is_final_status(head.status.as_u16());
        if let Some(load) = metadata.load.filter(|_| is_answer) {
            cell.report_load(clock::now(), load);
            self.context.admission.record_load(&self.work_key(), load);
        }
        if is_answer && metadata.is_from(&listed.id) {
            self.context.record_statements(&listed, &metadata, sent_at);
        }
        let verdict = self.check_head(&mut ticket, &head, &metadata, resume.stage)?;
        ticket.record_first_token();
        let elapsed = clock::now().saturating_duration_since(sent_at);
        self.log_head(pick, elapsed, &metadata);
        if let Some(basis) = pick
            .basis
            .filter(|_| matches!(resume.stage, AnswerStage::Stream | AnswerStage::Plain))
        {
            let admission = &self.context.admission;
            admission.record_first_token(&self.work_key(), &basis.load, &basis.work, elapsed);
        }
        if self.route.is_stream && pick.candidate.load < IDLE_LOAD {
            self.context.demand.record_first_token_time(&self.service, elapsed);
        }
        Ok(OpenAnswer {
            ticket,
            connection,
            pool,
            helper,
            verdict,
            head,
            is_framed,
            body,
            buffers: self.context.buffers.guard(BufferSource::Runner(listed.id.clone())),
            metadata,
            started_at: clock::now(),
            basis: pick.basis,
            _adapter_use: adapter_use,
        })
    }

    /// Ends an attempt that got no head of an answer.
    async fn end_failed(&self, ticket: &mut RunnerTicket, failure: SendFailure) -> AttemptError {
        let is_withheld = matches!(
            failure,
            SendFailure::Withheld | SendFailure::Limited | SendFailure::NoPath
        );
        if is_withheld {
            ticket.discard_wait();
        }
        ticket.set_outcome(match failure {
            SendFailure::NotConnected | SendFailure::NoRunner => AttemptOutcome::Unreachable,
            SendFailure::Withheld | SendFailure::Limited | SendFailure::NotSent | SendFailure::NoPath => {
                AttemptOutcome::Neutral
            }
            SendFailure::Broken
            | SendFailure::Oversized
            | SendFailure::TimedOut
            | SendFailure::BrokenBeyondNode
            | SendFailure::CrashedBeyondNode => AttemptOutcome::Failed,
        });
        let cell = ticket.cell();
        if failure == SendFailure::Oversized {
            let answer = OversizedAnswer::new("overlong_head", MAX_BYTES_BEFORE_HEAD);
            log_oversized(self, &cell.listed().id, answer);
        }
        // Parts of prompts are no suspects before the answer begins: the request may still have been waiting.
        let inputs = self.digests.inputs();
        let is_fatal = match failure {
            SendFailure::Broken => self.record_crash(cell, &inputs).await.is_repeated(),
            SendFailure::CrashedBeyondNode => self.record_known_crash(cell, &inputs).is_repeated(),
            _ => false,
        };
        AttemptError {
            is_timeout: failure == SendFailure::TimedOut,
            is_withheld,
            is_fatal,
            cause: if failure == SendFailure::NoPath {
                RefusalCause::RunnersUnreachable
            } else {
                RefusalCause::AttemptsUsedUp
            },
            ..AttemptError::at_runner(&cell.listed().id, failure.verdict(), &failure.to_string())
        }
    }

    /// Decides what follows from the head of an answer, and records what it says of the runner.
    ///
    /// # Errors
    /// [`AttemptError`] when nothing of the answer is passed on.
    fn check_head(
        &self,
        ticket: &mut RunnerTicket,
        head: &response::Parts,
        metadata: &AnswerMetadata,
        stage: AnswerStage,
    ) -> Result<HeadVerdict, AttemptError> {
        let backend = ticket.cell().listed().id.clone();
        let facts = HeadFacts {
            kind: metadata.kind,
            status: head.status.as_u16(),
            is_sealed: metadata.is_sealed,
            is_encoded: metadata.is_encoded,
            is_event_stream: is_event_stream(&head.headers),
        };
        match facts.verdict(stage) {
            verdict @ (HeadVerdict::Stream | HeadVerdict::Whole) => Ok(verdict),
            HeadVerdict::NotRun => {
                self.record_refusal(ticket, metadata);
                let reason = format!("not_run_{}", head.status.as_u16());
                Err(AttemptError::at_runner(&backend, RunVerdict::NotRun, &reason))
            }
            HeadVerdict::Uncertain(reason) => {
                ticket.set_outcome(AttemptOutcome::Failed);
                if metadata.kind == AnswerKind::OtherRequest {
                    self.context
                        .record_dropped_answer(&backend, &self.request.id, head.status, metadata.name);
                }
                Err(AttemptError::at_runner(&backend, RunVerdict::MayHaveRun, reason))
            }
        }
    }

    /// Records that a runner refused the request without running it.
    fn record_refusal(&self, ticket: &mut RunnerTicket, metadata: &AnswerMetadata) {
        ticket.discard_wait();
        if let Some(delay) = metadata.retry_after {
            self.context.record_hold(ticket.cell(), delay);
        }
        if metadata.kind == AnswerKind::NotRun {
            self.context.record_rejection(ticket.cell());
        }
        let is_full = metadata.load.is_none_or(|load| load.running >= load.slots);
        if metadata.kind == AnswerKind::Misdirected || !is_full {
            // A runner that refuses despite free slots is about to evict the model or is still loading it.
            self.record_misdirected(ticket, metadata);
        }
    }

    /// Records that the runner lacks the model, or that its address now belongs to another runner.
    fn record_misdirected(&self, ticket: &mut RunnerTicket, metadata: &AnswerMetadata) {
        let is_same_runner = metadata
            .backend
            .as_ref()
            .is_none_or(|id| *id == ticket.cell().listed().id);
        match &self.request.model {
            Some(name) if is_same_runner => ticket.cell().record_absent(clock::now(), name),
            _ => ticket.set_outcome(AttemptOutcome::Unreachable),
        }
    }

    fn log_head(&self, pick: &RunnerPick, elapsed: Duration, metadata: &AnswerMetadata) {
        if !self.is_sampled {
            return;
        }
        let load = metadata.load.unwrap_or_default();
        let values = o!(
            "waiting" => load.waiting,
            "running" => load.running,
            "head_ms" => elapsed.as_millis() as u64,
            "backend" => pick.cell.listed().id.to_string(),
        );
        self.context
            .log
            .write(events::RELAY_ANSWER_STARTED, &self.request.id, values);
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
            "load" => pick.candidate.expected_load(),
            "backend" => pick.cell.listed().id.to_string(),
        );
        self.context
            .log
            .write(events::RELAY_ATTEMPT_SENT, &self.request.id, values);
    }
}
