//! Verdict on a request: whether it ran or may have run at a backend server.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a request, or one attempt of it, ran or may have run.
///
/// Only [`RunVerdict::NotRun`] permits a retry of a non-idempotent request. The verdict reported to a caller covers all
/// attempts with the same idempotency key, never a single attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunVerdict {
    /// No byte of the request can have reached a backend server, or the backend server reported that it did not run.
    #[display("not_run")]
    NotRun,
    /// The request was sent, and no complete answer was received that proves whether it ran.
    #[display("may_have_run")]
    MayHaveRun,
    /// A complete answer of the backend server was received.
    #[display("ran")]
    Ran,
}

impl RunVerdict {
    /// Combines the verdicts on two attempts of one request into the verdict on the request.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }

    /// Returns whether another attempt may be sent.
    pub fn permits_retry(self, is_idempotent: bool) -> bool {
        is_idempotent || self == Self::NotRun
    }
}
