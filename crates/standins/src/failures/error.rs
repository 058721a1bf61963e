//! Errors that prevent the injection of a fault or the checks after it.

use mustardctl::cli::CommandError;
use snafu::Snafu;

use crate::{harness::HarnessError, http::CallError};

/// Why a fault could not be injected or its result could not be checked. This is not a failed check of the product
/// unless the text says so.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum FailureError {
    /// A process could not be started or signalled, or did not respond as required within its time limit.
    #[snafu(context(false), display("{source}"))]
    Harness {
        /// Cause.
        source: HarnessError,
    },
    /// A call to the operator API failed.
    #[snafu(context(false), display("{source}"))]
    Operator {
        /// Cause.
        source: CommandError,
    },
    /// A call to a stand-in failed.
    #[snafu(context(false), display("{source}"))]
    Call {
        /// Cause.
        source: CallError,
    },
    /// An expected condition did not hold within its time limit.
    #[snafu(display("expected {what} within {limit_s} s"))]
    Unmet {
        /// The expected condition.
        what: String,
        /// Time limit in seconds.
        limit_s: f64,
    },
}
