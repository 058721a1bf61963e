//! Answers of runners that are ended for their bytes.

use metrics::counter;
use mustardgate::events;
use mustardgate_core::ids::BackendId;
use slog::o;

use super::attempt::ReceivedRequest;

/// Reason of attempts whose answer was ended for its bytes. The runner is reached and has not crashed.
pub(super) const OVERSIZED_REASON: &str = "oversized_answer";

/// Why an answer was ended, and how much of it was held.
#[derive(Clone, Copy, Debug)]
pub(super) struct OversizedAnswer {
    cause: &'static str,
    bytes: usize,
}

impl OversizedAnswer {
    pub(super) fn new(cause: &'static str, bytes: usize) -> Self {
        Self { cause, bytes }
    }
}

/// Counts and logs an answer that was ended for its bytes.
pub(super) fn log_oversized(received: &ReceivedRequest, backend: &BackendId, answer: OversizedAnswer) {
    counter!("mustardgate_runner_answers_ended_total", "cause" => answer.cause).increment(1);
    let values = o!(
        "cause" => answer.cause,
        "bytes" => answer.bytes,
        "service" => received.service.to_string(),
        "backend" => backend.to_string(),
    );
    let log = &received.context.log;
    log.write(events::RELAY_ANSWER_OVERSIZED, &received.request.id, values);
}
