//! Moves of streams: another runner goes on while the answer of the current one does not come over a cut link.
//!
//! The current answer is kept until another one has proved to go on, because the link may be sound and the runner silent.

use std::{pin::pin, sync::Arc};

use bytes::Bytes;
use http_body_util::BodyExt;
use mustardgate_core::{
    clock,
    relay::EndVerdict,
    retry::{NoRetries, PrepaidRetry, RetryAllowance},
    verdict::RunVerdict,
};

use super::{
    super::{
        failure::AttemptError,
        retries::{log_abandoned, next_step_within},
    },
    StreamRelay,
};
use crate::link::runner_reached;

/// Reason of a move whose answer is not needed any more.
const ABANDONED_REASON: &str = "move_abandoned";
/// Reason of a move to a runner that has no event to go on with.
const NO_EVENT_REASON: &str = "no_event";

/// Course of a stream after an attempt to move it.
#[derive(Debug)]
pub(super) enum MoveOutcome {
    /// It goes on with these events, if there are any, at either runner.
    Open(Bytes),
    /// Another runner had nothing to add.
    Complete,
    /// Neither runner goes on.
    Broken,
}

impl MoveOutcome {
    /// Returns the outcome of a move for which the former answer is not awaited any longer.
    fn of_moved(has_moved: bool) -> Self {
        if has_moved {
            Self::Open(Bytes::new())
        } else {
            Self::Broken
        }
    }
}

impl StreamRelay {
    /// Goes on at another runner while the answer of the current one does not come over a cut link. The current one is
    /// awaited further if nobody else proves to go on, or if it or its runner is heard of first.
    pub(super) async fn move_elsewhere(&mut self) -> MoveOutcome {
        if !self.received.allowance().spend(clock::now()) {
            return MoveOutcome::Open(Bytes::new());
        }
        let Some(mut current) = self.open.take() else {
            return MoveOutcome::Broken;
        };
        let cell = Arc::clone(current.ticket.cell());
        let listed = cell.listed();
        let error = AttemptError::at_runner(&listed.id, RunVerdict::MayHaveRun, "link_cut");
        let mut paid = PrepaidRetry::default();
        let step = next_step_within(&mut self.plan, &error, &mut paid);
        let (splitter, progress) = (self.splitter.clone(), self.progress.clone());
        let has_more = self.has_more(&current);
        let (mut has_moved, mut heard) = (false, None);
        {
            let mut moving = pin!(self.go_on(step, error, &listed.version, has_more));
            tokio::select! {
                moved = &mut moving => has_moved = moved,
                frame = current.body.frame() => match frame {
                    Some(Err(_)) => return MoveOutcome::of_moved(moving.await),
                    frame => heard = frame.and_then(Result::ok),
                },
                () = current.buffers.ended() => return MoveOutcome::of_moved(moving.await),
            }
        }
        if has_moved {
            let context = Arc::clone(&self.received.context);
            // All events may have come before the silence, and another runner then has none to go on with.
            let reason = tokio::select! {
                events = self.first_events() => match events {
                    Ok(Some(events)) => return MoveOutcome::Open(events),
                    Ok(None) => return MoveOutcome::Complete,
                    Err(reason) => reason,
                },
                frame = current.body.frame() => match frame {
                    Some(Err(_)) => return MoveOutcome::Open(Bytes::new()),
                    frame => {
                        heard = frame.and_then(Result::ok);
                        ABANDONED_REASON
                    }
                },
                () = current.buffers.ended() => return MoveOutcome::Open(Bytes::new()),
                // Both runners would work on the stream from here on.
                () = runner_reached(&context, &cell) => ABANDONED_REASON,
            };
            self.abandon_move(reason).await;
            self.has_no_successor = reason == NO_EVENT_REASON;
        }
        (self.splitter, self.progress, self.has_foreign) = (splitter, progress, false);
        if let Some(data) = heard.and_then(|frame| frame.into_data().ok()) {
            self.splitter.push(&data);
        }
        self.open = Some(current);
        MoveOutcome::Open(self.take_events())
    }

    /// Returns the first events of an answer, `None` if it says that no event is left, or the reason for which it is not the
    /// rest of the stream.
    async fn first_events(&mut self) -> Result<Option<Bytes>, &'static str> {
        loop {
            let time_left = self.received.time_left();
            let open = self.open.as_mut().ok_or("not_open")?;
            let frame = match self.last_read.within(time_left, open.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err("broken_answer"),
                Ok(None) => {
                    let has_remainder = !self.splitter.remainder().is_empty();
                    return match self.progress.end(has_remainder, open.is_framed) {
                        EndVerdict::Complete => Ok(None),
                        EndVerdict::Broken(reason) => Err(reason),
                    };
                }
                Err(_) => return Err("timed_out"),
            };
            if let Ok(data) = frame.into_data() {
                self.splitter.push(&data);
            }
            let events = self.take_events();
            let has_room = self.cover_buffer();
            if !events.is_empty() {
                return Ok(Some(events));
            }
            if self.has_foreign {
                return Err("foreign_event");
            }
            if self.splitter.is_overlong() {
                return Err("overlong_event");
            }
            if !has_room {
                return Err("no_room");
            }
        }
    }

    /// Ends the attempt of a move whose answer is not needed, or is of no use.
    async fn abandon_move(&mut self, reason: &'static str) {
        let Some(open) = self.open.take() else { return };
        let (cell, started_at) = (Arc::clone(open.ticket.cell()), open.started_at);
        let is_direct = open.helper.is_none();
        drop(open);
        let error = AttemptError::at_runner(&cell.listed().id, RunVerdict::MayHaveRun, reason);
        let _step = next_step_within(&mut self.plan, &error, &mut NoRetries);
        log_abandoned(&self.received, &self.plan, &error);
        if is_direct {
            self.record_break(&cell, started_at, reason).await;
        }
    }
}
