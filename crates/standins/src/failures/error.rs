//! What can keep a fault from being brought about or judged.

use mustardctl::cli::CommandError;
use snafu::Snafu;

use crate::{harness::HarnessError, http::CallError};

/// Why a fault could not be brought about or judged; this is not a verdict on the product unless it says so.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum FailureError {
    /// A process could not be started or signalled, or did not do in time what it must.
    #[snafu(context(false), display("{source}"))]
    Harness {
        /// Cause.
        source: HarnessError,
    },
    /// The operator API did not answer as it must.
    #[snafu(context(false), display("{source}"))]
    Operator {
        /// Cause.
        source: CommandError,
    },
    /// A stand-in did not answer.
    #[snafu(context(false), display("{source}"))]
    Call {
        /// Cause.
        source: CallError,
    },
    /// Something that must come about did not.
    #[snafu(display("{what} did not come about within {limit_s} s"))]
    Unmet {
        /// What was waited for.
        what: String,
        /// Time waited, in seconds.
        limit_s: f64,
    },
}
