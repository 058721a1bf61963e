//! Header fields between two nodes with a request that is passed on, and with its answer.

use std::{fmt::Display, time::Duration};

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use mustardgate_core::ids::{BackendId, RequestId};

const BACKEND: HeaderName = HeaderName::from_static("forward-backend");
const START_MS: HeaderName = HeaderName::from_static("forward-start-ms");
const REQUEST: HeaderName = HeaderName::from_static("forward-request");
const TIME_LEFT_MS: HeaderName = HeaderName::from_static("forward-time-left-ms");
/// Present if another process than the named one must not get the request.
const NEEDS_PROCESS: HeaderName = HeaderName::from_static("forward-needs-process");
const VERDICT: HeaderName = HeaderName::from_static("forward-verdict");
const DELAY_MS: HeaderName = HeaderName::from_static("forward-delay-ms");
const LOAD: HeaderName = HeaderName::from_static("forward-load");
/// Present if the runner's body has a length or chunks. A node of an earlier build never says so.
const FRAMED: HeaderName = HeaderName::from_static("forward-framed");

/// A request that is passed on, apart from what the runner gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardRequest {
    /// Runner.
    pub backend: BackendId,
    /// Start time of its process in Unix milliseconds.
    pub started_at_ms: u64,
    /// Identifier of the caller's attempt; empty if the other node itself asks the runner something.
    pub request: RequestId,
    /// Time left.
    pub time_left: Duration,
    /// Whether another process than the named one must not get it.
    pub needs_process: bool,
}

/// Why the other node did not send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardRefusal {
    /// The other node cannot help now: it is full, stops, or is cut off as well.
    Unavailable,
    /// The runner accepts no request of the other node for a time.
    Held(Duration),
    /// The runner is not known there as named, or has left.
    Withheld,
    /// The other node reaches other runners, but not this one.
    NotConnected,
}

/// What became of a request that was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardVerdict {
    /// The answer is the runner's.
    Answered {
        /// Whether the runner's body has a length or chunks; between nodes every body has.
        is_framed: bool,
    },
    /// It was not sent.
    Refused(ForwardRefusal),
    /// It may have run, and there is no answer.
    Broken {
        /// Whether the time was up.
        is_timeout: bool,
    },
    /// The runner crashed before it answered.
    Crashed,
}

impl ForwardRequest {
    /// Writes the fields.
    pub fn write(&self, headers: &mut HeaderMap) {
        remove_fields(headers);
        insert(headers, BACKEND, &self.backend);
        insert(headers, START_MS, self.started_at_ms);
        insert(headers, REQUEST, &self.request);
        insert(headers, TIME_LEFT_MS, self.time_left.as_millis());
        if self.needs_process {
            insert(headers, NEEDS_PROCESS, 1);
        }
    }

    /// Returns whether the other node asks the runner something for itself, to which no request of a caller belongs.
    pub fn is_own_question(&self) -> bool {
        self.request.is_empty()
    }

    /// Returns whether the fields are those of a request that is passed on.
    pub fn is_in(headers: &HeaderMap) -> bool {
        headers.contains_key(BACKEND)
    }

    /// Takes the fields out; returns `None` if some are missing or invalid.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let request = Self {
            backend: text(headers, &BACKEND)?.into(),
            started_at_ms: number(headers, &START_MS)?,
            request: text(headers, &REQUEST)?.into(),
            time_left: Duration::from_millis(number(headers, &TIME_LEFT_MS)?),
            needs_process: headers.contains_key(NEEDS_PROCESS),
        };
        remove_fields(headers);
        Some(request)
    }
}

impl ForwardVerdict {
    /// Writes the fields, with the number of requests that the node passes on for others.
    pub fn write(self, headers: &mut HeaderMap, load: usize) {
        remove_fields(headers);
        let name = match self {
            Self::Answered { .. } => "answered",
            Self::Refused(ForwardRefusal::Unavailable) => "unavailable",
            Self::Refused(ForwardRefusal::Held(_)) => "held",
            Self::Refused(ForwardRefusal::Withheld) => "withheld",
            Self::Refused(ForwardRefusal::NotConnected) => "not_connected",
            Self::Broken { is_timeout: false } => "broken",
            Self::Broken { is_timeout: true } => "timed_out",
            Self::Crashed => "crashed",
        };
        insert(headers, VERDICT, name);
        insert(headers, LOAD, load);
        match self {
            Self::Refused(ForwardRefusal::Held(delay)) => insert(headers, DELAY_MS, delay.as_millis()),
            Self::Answered { is_framed: true } => insert(headers, FRAMED, 1),
            _ => {}
        }
    }

    /// Takes the fields out. An answer without them is none of a node, so the request may have run.
    pub fn take(headers: &mut HeaderMap) -> (Self, usize) {
        let delay = number(headers, &DELAY_MS)
            .map(Duration::from_millis)
            .unwrap_or_default();
        let verdict = match text(headers, &VERDICT).unwrap_or_default() {
            "answered" => Self::Answered {
                is_framed: headers.contains_key(FRAMED),
            },
            "unavailable" => Self::Refused(ForwardRefusal::Unavailable),
            "held" => Self::Refused(ForwardRefusal::Held(delay)),
            "withheld" => Self::Refused(ForwardRefusal::Withheld),
            "not_connected" => Self::Refused(ForwardRefusal::NotConnected),
            "timed_out" => Self::Broken { is_timeout: true },
            "crashed" => Self::Crashed,
            _ => Self::Broken { is_timeout: false },
        };
        let load = number(headers, &LOAD).unwrap_or_default() as usize;
        remove_fields(headers);
        (verdict, load)
    }
}

/// Removes the fields, which neither callers nor runners may set or see.
fn remove_fields(headers: &mut HeaderMap) {
    for name in [
        BACKEND,
        START_MS,
        REQUEST,
        TIME_LEFT_MS,
        NEEDS_PROCESS,
        VERDICT,
        DELAY_MS,
        LOAD,
        FRAMED,
    ] {
        headers.remove(name);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: impl Display) {
    // An identifier that is no field value came in no field either, so the other node refuses the request without it.
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}
