//! Answers that are event streams, passed on event by event and resumed at another runner where the route allows it.

mod evidence;
mod log;
mod moves;
mod timing;

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};
use metrics::counter;
use mustardgate_core::{
    clock,
    relay::{
        AnswerStage, EndVerdict, EventSplitter, EventVerdict, SoftwareVersion, StreamKey, StreamProgress, VersionTag,
    },
    retry::{AttemptPlan, NextStep},
    verdict::RunVerdict,
};
use tokio::time;

use self::{moves::MoveOutcome, timing::StreamTiming};
use super::{
    answer::{BrokenAnswer, RelayBody},
    attempt::{OpenAnswer, ReceivedRequest},
    buffered::{closes_connection, keep_alive_timeout},
    exchange::record_runner_answer,
    failure::AttemptError,
    grace::STOP_REASON,
    headers::remove_hop_by_hop_headers,
    oversized::{OversizedAnswer, log_oversized},
    path::ResumePoint,
    retries::{MIN_ATTEMPT_TIME, count_repeat, log_failure, next_step},
    trace::{RequestStep, RequestTrace},
};
use crate::{client::LastRead, fleet::AttemptOutcome, link::lost_answer};

/// An event stream that is passed on from one runner, or several in turn, to a caller.
#[derive(Debug)]
pub(super) struct StreamRelay {
    trace: RequestTrace,
    received: ReceivedRequest,
    plan: AttemptPlan,
    open: Option<OpenAnswer>,
    splitter: EventSplitter,
    /// Whether the answer went on beyond the point at which a runner would have crashed under its prompt.
    is_sound: bool,
    progress: StreamProgress,
    /// Whether the current answer held what is not the rest of the stream, behind events that were still to be passed on.
    has_foreign: bool,
    /// Whether another runner had no event left to go on with since the current one was last heard of.
    has_no_successor: bool,
    status: hyper::StatusCode,
    last_read: LastRead,
    timing: StreamTiming,
}

impl StreamRelay {
    /// Returns the answer to the caller, whose body is the stream.
    pub(super) fn start(received: ReceivedRequest, plan: AttemptPlan, open: OpenAnswer) -> Response<RelayBody> {
        let status = open.head.status;
        let mut headers = open.head.headers.clone();
        remove_hop_by_hop_headers(&mut headers);
        let relay = Self {
            last_read: LastRead::default(),
            timing: StreamTiming::default(),
            trace: RequestTrace::begin(Arc::clone(&received.context), &received.request, RequestStep::Answering),
            progress: received.begin_progress(open.ticket.cell().version_tag()),
            has_foreign: false,
            received,
            plan,
            open: Some(open),
            splitter: EventSplitter::default(),
            is_sound: false,
            has_no_successor: false,
            status,
        };
        let frames = stream::unfold(relay, |mut relay| async move {
            let chunk = relay.next_chunk_before_stop().await?;
            Some((chunk.map(Frame::data), relay))
        });
        let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Returns the next events; the end of the grace period of a planned stop breaks the stream off behind a whole event.
    async fn next_chunk_before_stop(&mut self) -> Option<Result<Bytes, BrokenAnswer>> {
        let aborting = self.received.context.drain.aborting();
        tokio::select! {
            // Events that have arrived count first.
            biased;
            chunk = self.next_chunk() => chunk,
            () = aborting.cancelled() => {
                self.log_broken(STOP_REASON);
                Some(Err(BrokenAnswer))
            }
        }
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, BrokenAnswer>> {
        loop {
            if self.has_foreign && !self.resume("foreign_event").await {
                return Some(Err(BrokenAnswer));
            }
            let open = self.open.as_mut()?;
            let time_left = self.received.expires_at.saturating_duration_since(clock::now());
            let link = &self.received.context.link;
            let is_direct = open.helper.is_none();
            let may_move =
                is_direct && !self.has_no_successor && self.plan.allows_another(clock::now(), MIN_ATTEMPT_TIME);
            let request = &self.received.request.id;
            let awaited = is_direct.then(|| link.await_answer());
            let next = tokio::select! {
                frame = self.last_read.within(time_left, open.body.frame()) => NextFrame::Received(frame),
                () = open.buffers.ended() => NextFrame::NoRoom,
                () = lost_answer(&self.received.context, open.ticket.cell(), request), if may_move => NextFrame::LinkCut,
            };
            drop(awaited);
            if let NextFrame::LinkCut = next {
                match self.move_elsewhere().await {
                    MoveOutcome::Complete => {
                        self.finish();
                        return None;
                    }
                    MoveOutcome::Broken => {
                        self.log_broken("link_cut");
                        return Some(Err(BrokenAnswer));
                    }
                    MoveOutcome::Open(events) if events.is_empty() => continue,
                    MoveOutcome::Open(events) => {
                        self.record_origin();
                        return Some(Ok(events));
                    }
                }
            }
            let reason = match next {
                NextFrame::Received(Ok(Some(Ok(frame)))) => {
                    if is_direct {
                        link.record_contact(false);
                    }
                    self.has_no_successor = false;
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                    let events = self.take_events();
                    let has_room = self.cover_buffer();
                    if !events.is_empty() {
                        self.record_origin();
                        self.record_sound();
                        return Some(Ok(events));
                    }
                    if self.has_foreign {
                        continue;
                    }
                    if self.splitter.is_overlong() {
                        "overlong_event"
                    } else if has_room {
                        continue;
                    } else {
                        "no_room"
                    }
                }
                NextFrame::NoRoom | NextFrame::LinkCut => "no_room",
                NextFrame::Received(Ok(None)) => {
                    let has_remainder = !self.splitter.remainder().is_empty();
                    match self.progress.end(has_remainder, open.is_framed) {
                        EndVerdict::Complete => {
                            self.finish();
                            return None;
                        }
                        EndVerdict::Broken(reason) => reason,
                    }
                }
                NextFrame::Received(Ok(Some(Err(_)))) => "broken_answer",
                NextFrame::Received(Err(_)) => "timed_out",
            };
            if !self.resume(reason).await {
                return Some(Err(BrokenAnswer));
            }
        }
    }

    /// Returns the complete events received so far that belong to the stream, without those that the caller already has.
    fn take_events(&mut self) -> Bytes {
        let (mut events, mut count) = (Vec::new(), 0);
        while let Some(event) = self.splitter.next_event().filter(|_| !self.has_foreign) {
            match self.progress.accept(&event) {
                EventVerdict::PassOn => {
                    events.extend_from_slice(&event.bytes);
                    count += 1;
                }
                EventVerdict::Skip => {}
                EventVerdict::Foreign => {
                    self.has_foreign = true;
                    self.log_refused(&event);
                }
            }
        }
        if self.progress.has_new_gap()
            && let Some(open) = &self.open
        {
            let version = open.ticket.cell().version_tag();
            self.record_numbering(version);
        }
        self.time_events(count);
        Bytes::from(events)
    }

    /// Reserves room for what is held of the next event; returns whether there is any.
    fn cover_buffer(&mut self) -> bool {
        let bytes = self.splitter.buffered_bytes();
        self.open.as_mut().is_some_and(|open| open.buffers.cover(bytes).is_ok())
    }

    /// Prepares for the answer of another runner, of a version; `has_more` says that the answer before it broke off within
    /// what follows the last event.
    fn begin_answer(&mut self, version: VersionTag, has_more: bool) {
        self.has_no_successor = false;
        self.splitter = EventSplitter::default();
        let known = self.received.context.streams.numbering(version);
        self.progress.begin_answer(known, has_more);
        self.timing.restart();
        self.has_foreign = false;
    }

    /// Binds the stream to the version of its runner with the first event that is passed on.
    fn record_origin(&mut self) {
        let Some(open) = self.open.as_ref().filter(|_| self.received.version.is_none()) else {
            return;
        };
        let version = open.ticket.cell().version_tag();
        self.received.version = Some(version);
        self.received.record_origin(version);
    }

    fn finish(&mut self) {
        self.record_end(true);
        let Some(mut open) = self.open.take() else { return };
        self.record_numbering(open.ticket.cell().version_tag());
        self.trace.end();
        open.ticket.set_outcome(AttemptOutcome::Answered);
        if !closes_connection(&open.head.headers) {
            open.pool
                .give_back(open.connection, keep_alive_timeout(&open.head.headers));
        }
        if self.progress.is_empty_rest() {
            // A runner with nothing left to do proves nothing of the inputs.
            counter!("mustardgate_streams_completed_without_event_total").increment(1);
        } else {
            self.received.context.crashes.record_sound(self.received.inputs());
        }
        self.received
            .context
            .streams
            .finish(StreamKey::of(&self.received.request.id));
        record_runner_answer(&self.received, self.status);
    }

    /// Resumes the stream at another runner; returns `false` if that is not possible and the stream ends as broken.
    async fn resume(&mut self, reason: &'static str) -> bool {
        if reason == "timed_out" {
            self.record_end(false);
        }
        let Some(mut open) = self.open.take() else { return false };
        open.ticket.set_outcome(AttemptOutcome::Failed);
        let error = AttemptError {
            is_timeout: reason == "timed_out",
            ..AttemptError::at_runner(&open.ticket.cell().listed().id, RunVerdict::MayHaveRun, reason)
        };
        let (cell, started_at) = (Arc::clone(open.ticket.cell()), open.started_at);
        let is_direct = open.helper.is_none();
        let is_oversized = matches!(reason, "overlong_event" | "no_room");
        if is_oversized {
            let answer = OversizedAnswer::new(reason, self.splitter.buffered_bytes());
            log_oversized(&self.received, &cell.listed().id, answer);
        }
        if is_direct && reason != "timed_out" && !is_oversized {
            self.received.context.link.record_failure(&cell.listed().id);
        }
        // The old connection is closed before another runner continues, so that the request does not run at both at
        // once.
        let has_more = self.has_more(&open);
        drop(open);
        let version = cell.listed().version.clone();
        self.record_numbering(cell.version_tag());
        self.begin_answer(cell.version_tag(), has_more);
        if is_direct && self.record_break(&cell, started_at, reason).await {
            // Another attempt might crash the next runner.
            self.log_broken("runner_crashed");
            return false;
        }
        let step = next_step(&self.received, &mut self.plan, &error);
        if self.go_on(step, error, &version, has_more).await {
            return true;
        }
        self.log_broken(reason);
        false
    }

    /// Opens the rest of the stream at another runner if the next step allows it; the answer before it, if still open, is
    /// dropped only then. `has_more` says that it broke off within what follows its last event.
    async fn go_on(
        &mut self,
        mut step: NextStep,
        mut error: AttemptError,
        version: &SoftwareVersion,
        has_more: bool,
    ) -> bool {
        loop {
            log_failure(&self.received, &self.plan, &error, &step);
            let NextStep::RetryElsewhere { excluded } = step else {
                return false;
            };
            match self.reopen(&excluded).await {
                Ok(open) => {
                    self.log_resumed(&open, version);
                    self.begin_answer(open.ticket.cell().version_tag(), has_more);
                    self.open = Some(open);
                    return true;
                }
                Err(next) => error = next,
            }
            step = next_step(&self.received, &mut self.plan, &error);
        }
    }

    async fn reopen(&mut self, excluded: &[mustardgate_core::ids::BackendId]) -> Result<OpenAnswer, AttemptError> {
        let pick = self.received.choose(excluded).await?;
        let backend = pick.cell.listed().id.clone();
        let refused = |reason: &str| AttemptError::at_runner(&backend, RunVerdict::MayHaveRun, reason);
        if !self.plan.begin_attempt(&backend) {
            return Err(AttemptError {
                backend: None,
                ..refused("not_permitted")
            });
        }
        let resume = ResumePoint {
            stage: AnswerStage::Continuation,
            after: self.progress.last().cloned(),
            may_follow: self.plan.allows_another(clock::now(), MIN_ATTEMPT_TIME),
        };
        let opened = self.received.open(&pick, &resume).await;
        self.received.settle_quota(&opened);
        count_repeat(&self.plan, &resume, &opened);
        opened
    }
}

/// What ends the wait for the next frame of an answer.
enum NextFrame {
    Received(Result<Option<Result<Frame<Bytes>, hyper::Error>>, time::error::Elapsed>),
    /// The answer does not come over a cut link.
    LinkCut,
    /// The room for its bytes was taken.
    NoRoom,
}
