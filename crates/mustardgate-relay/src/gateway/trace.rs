//! Records requests that end without a whole answer because their callers' connections end.
//!
//! The HTTP library drops a request with its connection, so that nothing else tells these requests from others.

use std::{sync::Arc, time::Instant};

use derive_more::Display;
use metrics::counter;
use mustardgate::events;
use mustardgate_core::{clock, ids::RequestId, relay::RelayRequest};
use slog::o;

use crate::context::RelayContext;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum RequestStep {
    /// Its body is being received.
    #[display("receiving")]
    Receiving,
    /// It is read, and waits for the head of an answer.
    #[display("waiting")]
    Waiting,
    /// Its answer is being passed on.
    #[display("answering")]
    Answering,
}

/// Follows a request, and records it as abandoned when it is dropped before it has ended.
#[derive(Debug)]
pub(super) struct RequestTrace {
    context: Arc<RelayContext>,
    id: RequestId,
    received_at: Instant,
    step: RequestStep,
    has_ended: bool,
}

impl RequestTrace {
    /// Begins to follow a request that has reached a step.
    pub(super) fn begin(context: Arc<RelayContext>, request: &RelayRequest, step: RequestStep) -> Self {
        Self {
            context,
            id: request.id.clone(),
            received_at: request.received_at,
            step,
            has_ended: false,
        }
    }

    /// Records the step that the request has reached.
    pub(super) fn reach(&mut self, step: RequestStep) {
        self.step = step;
    }

    /// Ends the trace, because the answer is whole or its failure was recorded.
    pub(super) fn end(&mut self) {
        self.has_ended = true;
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        counter!("mustardgate_requests_abandoned_total", "step" => self.step.to_string()).increment(1);
        let elapsed = clock::now().saturating_duration_since(self.received_at);
        let values = o!("elapsed_ms" => elapsed.as_millis() as u64, "step" => self.step.to_string());
        self.context
            .log
            .write(events::RELAY_REQUEST_ABANDONED, &self.id, values);
    }
}
