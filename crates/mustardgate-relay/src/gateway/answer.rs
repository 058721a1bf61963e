//! Bodies of answers to callers, and the answers that the node generates itself.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use mustardgate_core::{relay::RefusalCause, verdict::RunVerdict};
use snafu::Snafu;

/// The answer cannot be completed; the connection is closed so that the caller does not take it for complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer ended before it was complete"))]
pub struct BrokenAnswer;

/// Body of an answer to a caller.
pub type RelayBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// An answer that the node generates itself, by its reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LocalAnswer {
    /// The request did not run and will not; the caller may retry after the delay. Without one, a retry is no use.
    Refused {
        cause: RefusalCause,
        retry_after: Option<Duration>,
    },
    /// The request may have run, and no answer was received.
    Uncertain { is_timeout: bool },
    /// The request has no valid key.
    Unauthorized,
    /// The request exceeds its tenant's quota; the caller may retry after the delay.
    QuotaExceeded { retry_after: Duration },
    /// No route matches.
    NoRoute,
    /// The request is malformed.
    Malformed,
    /// The body is longer than allowed.
    TooLarge,
}

impl LocalAnswer {
    /// Returns the answer that reports a verdict on a failed request.
    pub(super) fn of_verdict(
        verdict: RunVerdict,
        cause: RefusalCause,
        retry_after: Option<Duration>,
        is_timeout: bool,
    ) -> Self {
        match verdict {
            RunVerdict::NotRun => Self::Refused { cause, retry_after },
            RunVerdict::MayHaveRun | RunVerdict::Ran => Self::Uncertain { is_timeout },
        }
    }

    /// Returns the label for logs and metrics.
    pub(super) fn label(&self) -> String {
        match self {
            Self::Refused { cause, .. } => cause.to_string(),
            Self::Uncertain { is_timeout: true } => "timeout".to_owned(),
            Self::Uncertain { is_timeout: false } => "uncertain".to_owned(),
            Self::Unauthorized => "unauthorized".to_owned(),
            Self::QuotaExceeded { .. } => "quota_exceeded".to_owned(),
            Self::NoRoute => "no_route".to_owned(),
            Self::Malformed => "malformed".to_owned(),
            Self::TooLarge => "too_large".to_owned(),
        }
    }

    /// Returns the HTTP status.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Uncertain { is_timeout: true } => StatusCode::GATEWAY_TIMEOUT,
            Self::Uncertain { is_timeout: false } => StatusCode::BAD_GATEWAY,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::QuotaExceeded { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    pub(super) fn into_response(self) -> Response<RelayBody> {
        let mut response = Response::new(full_body(Bytes::from(self.label())));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        match self {
            Self::Refused {
                retry_after: Some(retry_after),
                ..
            }
            | Self::QuotaExceeded { retry_after } => {
                let seconds = format!("{:.3}", retry_after.as_secs_f64());
                headers.insert(RETRY_AFTER, seconds.parse().expect("a number is a valid field value"));
            }
            // The request was not understood or not read completely, so what follows it on the connection is not
            // trusted.
            Self::Malformed | Self::TooLarge => {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Self::Refused { retry_after: None, .. } | Self::Uncertain { .. } | Self::Unauthorized | Self::NoRoute => {}
        }
        response
    }
}

/// Returns a body whose content is completely known.
pub(crate) fn full_body(content: Bytes) -> RelayBody {
    Full::new(content).map_err(|never| match never {}).boxed_unsync()
}
