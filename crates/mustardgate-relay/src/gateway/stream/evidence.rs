//! What the course of an answer says of the request's inputs and of the service's events.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::body::Body;
use mustardgate_core::{
    clock,
    relay::{VersionTag, shared_parts},
};

use super::{super::attempt::OpenAnswer, StreamRelay};
use crate::fleet::RunnerCell;

/// Time from the head of an answer within which a runner crashes that cannot process a part of the prompt. A request may
/// crash it at any time.
const ANSWER_START_TIME: Duration = Duration::from_millis(500);

impl StreamRelay {
    /// Returns whether the answer had begun to write what follows the last event that belongs to the stream.
    pub(super) fn has_more(&self, open: &OpenAnswer) -> bool {
        !self.has_foreign && (self.splitter.has_begun_event() || open.body.size_hint().lower() > 0)
    }

    /// Records what the answers so far say of the identifiers of the service's events.
    pub(super) fn record_numbering(&mut self, version: VersionTag) {
        let evidence = self.progress.take_evidence();
        self.received.context.streams.record_numbering(version, evidence);
    }

    /// Records what an answer that broke off says of the inputs; returns whether the runner crashed at its start.
    pub(super) async fn record_break(&self, cell: &Arc<RunnerCell>, started_at: Instant, reason: &str) -> bool {
        if !matches!(reason, "broken_answer" | "unfinished_event") {
            return false;
        }
        if has_begun(started_at) {
            self.received.record_late_crash(cell);
            return false;
        }
        let inputs = self.received.inputs();
        self.received.record_crash(cell, &inputs).await.is_crashed()
    }

    /// Clears the parts of the prompt once the runner has answered for longer than the start of an answer takes.
    pub(super) fn record_sound(&mut self) {
        let is_under_way = self.open.as_ref().is_some_and(|open| has_begun(open.started_at));
        if is_under_way && !std::mem::replace(&mut self.is_sound, true) {
            let parts = shared_parts(&self.received.request);
            self.received.context.crashes.record_sound(parts);
        }
    }
}

/// Returns whether an answer has lasted for longer than its start takes.
fn has_begun(started_at: Instant) -> bool {
    clock::now().saturating_duration_since(started_at) >= ANSWER_START_TIME
}
