//! Records the ends of callers' connections that no event of a request tells.

use std::{
    error::Error,
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use metrics::counter;
use mustardgate::events;
use mustardgate_core::ids::RequestId;
use slog::{Logger, o};

use crate::context::RelayContext;

/// Follows a caller's connection to its end.
#[derive(Debug)]
pub(super) struct ConnectionEnd {
    context: Arc<RelayContext>,
    /// Requests whose heads were read.
    served: Arc<AtomicUsize>,
}

impl ConnectionEnd {
    /// Begins to follow a connection.
    pub(super) fn new(context: Arc<RelayContext>) -> Self {
        Self {
            context,
            served: Arc::default(),
        }
    }

    /// Returns the count of requests, which the connection's service keeps.
    pub(super) fn served(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.served)
    }

    /// Returns the logger.
    pub(super) fn logger(&self) -> &Logger {
        self.context.log.logger()
    }

    /// Records the end of the connection.
    pub(super) fn record(&self, ended: &Result<(), hyper::Error>) {
        let reason = match ended {
            Ok(()) => "closed".to_owned(),
            Err(error) => failure_reason(error),
        };
        counter!("mustardgate_caller_connections_ended_total", "reason" => reason.clone()).increment(1);
        // Idle connections end by the time limit, and the request of a broken answer has an event of its own.
        if matches!(reason.as_str(), "closed" | "silent" | "broken_answer") {
            return;
        }
        let values = o!("requests" => self.served.load(Ordering::Relaxed), "reason" => reason);
        let log = &self.context.log;
        log.write(events::RELAY_CONNECTION_FAILED, &RequestId::default(), values);
    }
}

fn failure_reason(error: &hyper::Error) -> String {
    if error.is_timeout() {
        return "silent".to_owned();
    }
    if error.is_user() {
        return "broken_answer".to_owned();
    }
    if error.is_parse() {
        // The library has answered it.
        return "unreadable".to_owned();
    }
    if error.is_incomplete_message() {
        return "incomplete".to_owned();
    }
    let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.map_or_else(|| "other".to_owned(), |cause| cause.kind().to_string())
}
