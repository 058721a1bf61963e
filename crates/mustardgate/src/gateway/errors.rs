//! Errors returned to callers, each with a stable code, an HTTP status, a verdict and, where a retry may succeed, the
//! time after which to retry.

use std::time::Duration;

use hyper::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use mustardgate_core::{
    admission::{Refusal, RefusalReason},
    verdict::RunVerdict,
};
use mustardgate_protocol::callers::{ErrorAnswer, ErrorDetail, VERDICT_HEADER};
use smol_str::SmolStr;
use snafu::Snafu;

use crate::http::{AnswerBody, BodyError, json_answer};

/// An error returned to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallerError {
    /// No such path.
    #[snafu(display("this path does not exist"))]
    UnknownPath,
    /// The path accepts another method.
    #[snafu(display("this path accepts only {allowed}"))]
    MethodNotAllowed {
        /// The method it accepts.
        allowed: &'static str,
    },
    /// Too many header fields.
    #[snafu(display("the request has more than {limit} header fields"))]
    TooManyHeaders {
        /// The limit.
        limit: usize,
    },
    /// The request has no bearer key.
    #[snafu(display("an Authorization header with a bearer key is required"))]
    MissingKey,
    /// The bearer key belongs to no tenant.
    #[snafu(display("the bearer key belongs to no tenant"))]
    WrongKey,
    /// The tenant may not call the service.
    #[snafu(display("this tenant may not call service {service}"))]
    ServiceForbidden {
        /// The service.
        service: SmolStr,
    },
    /// The body was not received completely.
    #[snafu(display("{source}"))]
    Body {
        /// Cause.
        source: BodyError,
    },
    /// The node has no memory for the request now.
    #[snafu(display("the node has no room for the request at present"))]
    NoRoom {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The body is not valid for the path.
    #[snafu(display("the body is not valid: {reason}"))]
    InvalidBody {
        /// What is wrong.
        reason: String,
    },
    /// A header field has an invalid value.
    #[snafu(display("header {name} is not valid: {reason}"))]
    InvalidHeader {
        /// Name of the header.
        name: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// No such model or adapter is declared.
    #[snafu(display("no model or adapter is named {model}"))]
    UnknownModel {
        /// The name asked for.
        model: SmolStr,
    },
    /// No such service is declared.
    #[snafu(display("no service is named {service}"))]
    UnknownService {
        /// The name asked for.
        service: SmolStr,
    },
    /// The node has no configuration yet.
    #[snafu(display("the node is not ready: {reason}"))]
    NotReady {
        /// Why.
        reason: String,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The request was not admitted.
    #[snafu(display("the request was not admitted: {reason}"))]
    NotAdmitted {
        /// Why.
        reason: String,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// No backend server that accepts new work serves the model or service.
    #[snafu(display("no backend server serves this model or service at present"))]
    NoCapacity {
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// No attempt succeeded.
    #[snafu(display("no backend server returned a complete answer: {reason}"))]
    AttemptsFailed {
        /// Why the last attempt failed.
        reason: String,
        /// Verdict over all attempts.
        verdict: RunVerdict,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The deadline passed.
    #[snafu(display("the deadline passed before the answer was complete"))]
    DeadlinePassed {
        /// Verdict over all attempts.
        verdict: RunVerdict,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The node stopped before the answer was complete.
    #[snafu(display("the node stopped before the answer was complete"))]
    Stopping {
        /// Verdict over all attempts.
        verdict: RunVerdict,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// The idempotency key was used for another request.
    #[snafu(display("the idempotency key was used for another request"))]
    KeyReused {
        /// Verdict on the key.
        verdict: RunVerdict,
    },
    /// The keyed call cannot be accepted now, its outcome is unknown, or its answer is not stored.
    #[snafu(display("the keyed call has no answer: {reason}"))]
    KeyUnresolved {
        /// Why.
        reason: String,
        /// Verdict on the key.
        verdict: RunVerdict,
        /// Time after which to retry.
        retry_after: Duration,
    },
}

impl CallerError {
    /// Returns the error for a request that admission refused.
    pub fn refused(refusal: Refusal) -> Self {
        let retry_after = refusal.retry_after;
        match refusal.reason {
            RefusalReason::NoCapacity => Self::NoCapacity { retry_after },
            reason => Self::NotAdmitted {
                reason: reason.to_string(),
                retry_after,
            },
        }
    }

    /// Returns the stable code.
    pub fn code(&self) -> &'static str {
        match self {
            Self::UnknownPath => "unknown_path",
            Self::MethodNotAllowed { .. } => "method_not_allowed",
            Self::TooManyHeaders { .. } => "too_many_headers",
            Self::MissingKey => "missing_key",
            Self::WrongKey => "wrong_key",
            Self::ServiceForbidden { .. } => "service_forbidden",
            Self::Body { source } => match source {
                BodyError::TooLong { .. } => "body_too_long",
                BodyError::TooSlow { .. } => "body_too_slow",
                BodyError::Broken => "body_broken",
            },
            Self::NoRoom { .. } => "no_room",
            Self::InvalidBody { .. } => "invalid_body",
            Self::InvalidHeader { .. } => "invalid_header",
            Self::UnknownModel { .. } => "unknown_model",
            Self::UnknownService { .. } => "unknown_service",
            Self::NotReady { .. } => "not_ready",
            Self::NotAdmitted { .. } => "not_admitted",
            Self::NoCapacity { .. } => "no_capacity",
            Self::AttemptsFailed { .. } => "attempts_failed",
            Self::DeadlinePassed { .. } => "deadline_passed",
            Self::Stopping { .. } => "stopping",
            Self::KeyReused { .. } => "key_reused",
            Self::KeyUnresolved { .. } => "key_unresolved",
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::UnknownPath | Self::UnknownModel { .. } | Self::UnknownService { .. } => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooManyHeaders { .. } => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::MissingKey | Self::WrongKey => StatusCode::UNAUTHORIZED,
            Self::ServiceForbidden { .. } => StatusCode::FORBIDDEN,
            Self::Body { source } => match source {
                BodyError::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
                BodyError::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
                BodyError::Broken => StatusCode::BAD_REQUEST,
            },
            Self::InvalidBody { .. } | Self::InvalidHeader { .. } => StatusCode::BAD_REQUEST,
            Self::NotAdmitted { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady { .. }
            | Self::NoRoom { .. }
            | Self::NoCapacity { .. }
            | Self::Stopping { .. }
            | Self::KeyUnresolved { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::AttemptsFailed { .. } => StatusCode::BAD_GATEWAY,
            Self::DeadlinePassed { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::KeyReused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::AttemptsFailed { verdict, .. }
            | Self::DeadlinePassed { verdict, .. }
            | Self::Stopping { verdict, .. }
            | Self::KeyReused { verdict }
            | Self::KeyUnresolved { verdict, .. } => *verdict,
            _ => RunVerdict::NotRun,
        }
    }

    /// Returns the error with the verdict on its key in place of the verdict on its own attempts.
    #[must_use]
    pub fn with_verdict(self, key_verdict: RunVerdict) -> Self {
        match self {
            Self::AttemptsFailed {
                reason, retry_after, ..
            } => Self::AttemptsFailed {
                reason,
                verdict: key_verdict,
                retry_after,
            },
            Self::DeadlinePassed { retry_after, .. } => Self::DeadlinePassed {
                verdict: key_verdict,
                retry_after,
            },
            Self::Stopping { retry_after, .. } => Self::Stopping {
                verdict: key_verdict,
                retry_after,
            },
            other if other.verdict() == key_verdict => other,
            other => Self::KeyUnresolved {
                reason: other.to_string(),
                verdict: key_verdict,
                retry_after: other.retry_after().unwrap_or(Duration::from_secs(1)),
            },
        }
    }

    /// Returns the time after which the caller may retry, if a retry may succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotReady { retry_after, .. }
            | Self::NotAdmitted { retry_after, .. }
            | Self::NoRoom { retry_after }
            | Self::NoCapacity { retry_after }
            | Self::AttemptsFailed { retry_after, .. }
            | Self::DeadlinePassed { retry_after, .. }
            | Self::Stopping { retry_after, .. }
            | Self::KeyUnresolved { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }

    /// Returns the response body that reports the error.
    pub fn to_answer(&self) -> ErrorAnswer {
        ErrorAnswer {
            error: ErrorDetail {
                code: self.code().into(),
                message: self.to_string(),
                verdict: self.verdict(),
                retry_after_ms: self.retry_after().map(|wait| wait.as_millis() as u64),
            },
        }
    }

    /// Returns the HTTP response that reports the error.
    pub fn to_response(&self) -> Response<AnswerBody> {
        let mut response = json_answer(self.status(), &self.to_answer());
        let headers = response.headers_mut();
        let verdict = HeaderValue::from_str(&self.verdict().to_string()).expect("verdicts are plain words");
        headers.insert(HeaderName::from_static(VERDICT_HEADER), verdict);
        if let Some(wait) = self.retry_after() {
            headers.insert(RETRY_AFTER, HeaderValue::from(wait.as_millis().div_ceil(1_000) as u64));
        }
        response
    }
}
