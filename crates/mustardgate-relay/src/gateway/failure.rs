//! Why an attempt failed.

use std::time::Duration;

use mustardgate_core::{ids::BackendId, relay::RefusalCause, verdict::RunVerdict};
use smol_str::SmolStr;

/// Why an attempt failed, or could not be made.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AttemptError {
    /// Runner that was tried, if one was chosen.
    pub(super) backend: Option<BackendId>,
    pub(super) verdict: RunVerdict,
    pub(super) cause: RefusalCause,
    pub(super) reason: SmolStr,
    pub(super) is_timeout: bool,
    /// Whether the request was not sent because the runner accepts no requests now.
    pub(super) is_withheld: bool,
    /// Whether the request crashed the runner and another one before it, so that it is not sent again.
    pub(super) is_fatal: bool,
    /// Time after which a runner accepts requests again, if known.
    pub(super) retry_after: Option<Duration>,
    /// Time after which there is capacity for the request, if known from the backlog.
    pub(super) backlog_delay: Option<Duration>,
}

impl AttemptError {
    /// Returns the error of a request for which no runner was chosen.
    pub(super) fn unplaced(cause: RefusalCause) -> Self {
        Self {
            backend: None,
            verdict: RunVerdict::NotRun,
            cause,
            reason: "unplaced".into(),
            is_timeout: false,
            is_withheld: false,
            is_fatal: false,
            retry_after: None,
            backlog_delay: None,
        }
    }

    /// Returns the error of an attempt at a runner.
    pub(super) fn at_runner(backend: &BackendId, verdict: RunVerdict, reason: &str) -> Self {
        Self {
            backend: Some(backend.clone()),
            verdict,
            cause: RefusalCause::AttemptsUsedUp,
            reason: reason.into(),
            is_timeout: false,
            is_withheld: false,
            is_fatal: false,
            retry_after: None,
            backlog_delay: None,
        }
    }
}
