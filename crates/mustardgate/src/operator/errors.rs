//! Errors told to operators.

use hyper::{Response, StatusCode};
use mustardgate_core::ids::{ChangeId, Offset};
use mustardgate_protocol::operators::{
    ConflictAnswer, FieldError, InvalidAnswer, OUTCOME_UNKNOWN, UnknownAnswer, UnknownDetail,
};
use serde::Serialize;
use snafu::Snafu;

use crate::http::{AnswerBody, json_answer};

/// An error told to an operator.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OperatorError {
    /// No valid operators' key was shown.
    #[snafu(display("the operators' bearer key is needed"))]
    WrongKey,
    /// No such path or kind.
    #[snafu(display("there is nothing at this path"))]
    UnknownPath,
    /// No such resource.
    #[snafu(display("no such resource"))]
    UnknownResource,
    /// The path takes other methods.
    #[snafu(display("this path takes other methods"))]
    MethodNotAllowed,
    /// The request has no usable precondition, body or query.
    #[snafu(display("{reason}"))]
    BadRequest {
        /// What is wrong.
        reason: String,
    },
    /// The specification was refused.
    #[snafu(display("the specification is not valid"))]
    Invalid {
        /// What is wrong with which field.
        errors: Vec<FieldError>,
    },
    /// The resource has another version.
    #[snafu(display("the resource has another version"))]
    Conflict {
        /// Version it has, or `None` when there is none.
        current: Option<Offset>,
    },
    /// The log did not take the change; it will not take effect.
    #[snafu(display("the log did not take the change"))]
    NotApplied,
    /// The change may have been accepted.
    #[snafu(display("the outcome of the change is not known"))]
    OutcomeUnknown {
        /// Identifier to ask with.
        change: ChangeId,
    },
    /// The node has no configuration yet.
    #[snafu(display("the node is not ready: {reason}"))]
    NotReady {
        /// Why.
        reason: String,
    },
    /// The offset to watch from is too old.
    #[snafu(display("events from this offset are no longer kept; list again"))]
    WatchTooOld,
}

/// Body of errors without a body of their own.
#[derive(Debug, Serialize)]
struct PlainError {
    error: PlainDetail,
}

/// Code and explanation.
#[derive(Debug, Serialize)]
struct PlainDetail {
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

    /// Returns the HTTP answer that tells the error.
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
                let error = PlainDetail {
                    code: self.code(),
                    message: self.to_string(),
                };
                json_answer(status, &PlainError { error })
            }
        }
    }
}
