//! Errors returned to operators.

use hyper::{Response, StatusCode};
use mustardgate_core::ids::{ChangeId, Offset};
use mustardgate_protocol::operators::{
    ConflictAnswer, FieldError, InvalidAnswer, OUTCOME_UNKNOWN, UnknownAnswer, UnknownDetail,
};
use serde::Serialize;
use snafu::Snafu;

use crate::http::{AnswerBody, json_answer};

/// An error returned to an operator.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OperatorError {
    /// The request carries no valid operators' key.
    #[snafu(display("the operators' bearer key is required"))]
    WrongKey,
    /// The path or the kind of resource does not exist.
    #[snafu(display("unknown path"))]
    UnknownPath,
    /// The resource does not exist.
    #[snafu(display("no such resource"))]
    UnknownResource,
    /// The path does not allow the method.
    #[snafu(display("method not allowed at this path"))]
    MethodNotAllowed,
    /// A precondition, the body or the query of the request is missing or malformed.
    #[snafu(display("{reason}"))]
    BadRequest {
        /// Explanation.
        reason: String,
    },
    /// Validation refused the specification or the deletion.
    #[snafu(display("the specification is not valid"))]
    Invalid {
        /// Errors, one per invalid field.
        errors: Vec<FieldError>,
    },
    /// The resource does not have the expected version.
    #[snafu(display("the resource does not have the expected version"))]
    Conflict {
        /// Version that the resource has, or `None` when it does not exist.
        current: Option<Offset>,
    },
    /// This submission appended nothing to the log; the change takes effect only if it is submitted again.
    #[snafu(display("the change was not appended to the log"))]
    NotApplied,
    /// The change may have been accepted.
    #[snafu(display("the outcome of the change is not known"))]
    OutcomeUnknown {
        /// Identifier of the change; sending the change again with it is safe.
        change: ChangeId,
    },
    /// The node has no configuration yet.
    #[snafu(display("the node is not ready: {reason}"))]
    NotReady {
        /// Why the configuration is not available.
        reason: String,
    },
    /// The node no longer keeps the events from the requested offset.
    #[snafu(display("events from this offset are no longer kept; list the resources again"))]
    WatchTooOld,
}

/// Body of the errors for which the protocol defines no type.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

/// Code and explanation of an error.
#[derive(Debug, Serialize)]
struct ErrorDetail {
    code: &'static str,
    message: String,
}

impl OperatorError {
    fn status(&self) -> StatusCode {
        match self {
            Self::WrongKey => StatusCode::UNAUTHORIZED,
            Self::UnknownPath | Self::UnknownResource => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::BadRequest { .. } => StatusCode::BAD_REQUEST,
            Self::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::NotApplied | Self::OutcomeUnknown { .. } | Self::NotReady { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::WatchTooOld => StatusCode::GONE,
        }
    }

    fn code(&self) -> &'static str {
        match self {
            Self::WrongKey => "wrong_key",
            Self::UnknownPath => "unknown_path",
            Self::UnknownResource => "unknown_resource",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::BadRequest { .. } => "bad_request",
            Self::Invalid { .. } => "invalid",
            Self::Conflict { .. } => "conflict",
            Self::NotApplied => "not_applied",
            Self::OutcomeUnknown { .. } => OUTCOME_UNKNOWN,
            Self::NotReady { .. } => "not_ready",
            Self::WatchTooOld => "watch_too_old",
        }
    }

    /// Returns the HTTP answer for the error.
    pub fn to_response(&self) -> Response<AnswerBody> {
        let status = self.status();
        match self {
            Self::Invalid { errors } => json_answer(status, &InvalidAnswer { errors: errors.clone() }),
            Self::Conflict { current } => json_answer(
                status,
                &ConflictAnswer {
                    error: "conflict".into(),
                    current: *current,
                },
            ),
            Self::OutcomeUnknown { change } => {
                let error = UnknownDetail {
                    code: OUTCOME_UNKNOWN.into(),
                    change: change.clone(),
                };
                json_answer(status, &UnknownAnswer { error })
            }
            _ => {
                let error = ErrorDetail {
                    code: self.code(),
                    message: self.to_string(),
                };
                json_answer(status, &ErrorBody { error })
            }
        }
    }
}
