//! Bodies and answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use mustardgate_core::{relay::RefusalCause, verdict::RunVerdict};
use snafu::Snafu;

/// The answer cannot be finished; the connection is closed, so that it does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer broke off"))]
pub struct BrokenAnswer;

/// Body of an answer to a caller.
pub type RelayBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// Why a request gets an answer of our own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum OwnAnswer {
    /// The request did not run and never will; the caller may come back after the pause.
    Refused { cause: RefusalCause, pause: Duration },
    /// The request may have run, and no answer is known.
    Uncertain { is_timeout: bool },
    /// No route matches.
    NoRoute,
    /// The request is malformed.
    Malformed,
    /// The body is longer than allowed.
    TooLarge,
}

impl OwnAnswer {
    /// Returns the failure that tells the truth about a verdict.
    pub(super) fn of_verdict(verdict: RunVerdict, cause: RefusalCause, pause: Duration, is_timeout: bool) -> Self {
        match verdict {
            RunVerdict::NotRun => Self::Refused { cause, pause },
            RunVerdict::MayHaveRun | RunVerdict::Ran => Self::Uncertain { is_timeout },
        }
    }

    /// Returns a short name for logs and metrics.
    pub(super) fn label(&self) -> String {
        match self {
            Self::Refused { cause, .. } => cause.to_string(),
            Self::Uncertain { is_timeout: true } => "timeout".to_owned(),
            Self::Uncertain { is_timeout: false } => "uncertain".to_owned(),
            Self::NoRoute => "no_route".to_owned(),
            Self::Malformed => "malformed".to_owned(),
            Self::TooLarge => "too_large".to_owned(),
        }
    }

    /// Returns the status that callers see.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Uncertain { is_timeout: true } => StatusCode::GATEWAY_TIMEOUT,
            Self::Uncertain { is_timeout: false } => StatusCode::BAD_GATEWAY,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    pub(super) fn into_response(self) -> Response<RelayBody> {
        let mut response = Response::new(whole_body(Bytes::from(self.label())));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        match self {
            Self::Refused { pause, .. } => {
                let seconds = format!("{:.3}", pause.as_secs_f64());
                headers.insert(RETRY_AFTER, seconds.parse().expect("a number is a valid field value"));
            }
            // What follows a request that was not read as its sender meant it cannot be trusted.
            Self::Malformed | Self::TooLarge => {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Self::Uncertain { .. } | Self::NoRoute => {}
        }
        response
    }
}

/// Returns a body that is known as a whole.
pub(super) fn whole_body(content: Bytes) -> RelayBody {
    Full::new(content).map_err(|never| match never {}).boxed_unsync()
}
