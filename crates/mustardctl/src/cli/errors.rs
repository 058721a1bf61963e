//! Errors of subcommands and their exit codes.

use mustardgate_core::ids::{ChangeId, Offset};
use snafu::Snafu;

/// Exit codes, documented in `docs/MUSTARDCTL.md`.
pub mod exit_codes {
    /// Any other failure, such as a request answered with an error.
    pub const FAILED: u8 = 1;
    /// The command line is invalid.
    pub const USAGE: u8 = 2;
    /// A resource does not have the expected version.
    pub const CONFLICT: u8 = 3;
    /// The outcome of a change is unknown; it may have been accepted.
    pub const OUTCOME_UNKNOWN: u8 = 4;
    /// The server did not answer.
    pub const UNREACHABLE: u8 = 5;
    /// A declaration is invalid.
    pub const INVALID: u8 = 6;
    /// Declarations and configuration differ.
    pub const DIFFERENT: u8 = 7;
    /// A resource does not exist.
    pub const NOT_FOUND: u8 = 8;
}

/// Error of a subcommand.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// The command line is invalid.
    #[snafu(display("{reason}"))]
    Usage {
        /// Explanation.
        reason: String,
    },
    /// A resource does not have the expected version.
    #[snafu(display("{resource} does not have the expected version; it has {}", version_label(*current)))]
    Conflict {
        /// The resource.
        resource: String,
        /// Current version, or `None` when the resource does not exist.
        current: Option<Offset>,
    },
    /// The outcome of a change is unknown; it may have been accepted.
    #[snafu(display("the outcome of change {change} to {resource} is unknown; apply again to find out"))]
    OutcomeUnknown {
        /// The resource.
        resource: String,
        /// Identifier of the change.
        change: ChangeId,
    },
    /// The server did not answer.
    #[snafu(display("{server} did not answer: {reason}"))]
    Unreachable {
        /// Address of the server.
        server: String,
        /// Explanation.
        reason: String,
    },
    /// Declarations are invalid.
    #[snafu(display("{}", errors.join("\n  ")))]
    Invalid {
        /// One line for each error.
        errors: Vec<String>,
    },
    /// Declarations and configuration differ.
    #[snafu(display("{count} resources differ"))]
    Different {
        /// Number of resources that differ.
        count: usize,
    },
    /// A resource does not exist.
    #[snafu(display("{resource} does not exist"))]
    NotFound {
        /// The resource.
        resource: String,
    },
    /// Any other failure.
    #[snafu(display("{reason}"))]
    Failed {
        /// Explanation.
        reason: String,
    },
}

impl CommandError {
    /// Returns the exit code of the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed { .. } => exit_codes::FAILED,
            Self::Usage { .. } => exit_codes::USAGE,
            Self::Conflict { .. } => exit_codes::CONFLICT,
            Self::OutcomeUnknown { .. } => exit_codes::OUTCOME_UNKNOWN,
            Self::Unreachable { .. } => exit_codes::UNREACHABLE,
            Self::Invalid { .. } => exit_codes::INVALID,
            Self::Different { .. } => exit_codes::DIFFERENT,
            Self::NotFound { .. } => exit_codes::NOT_FOUND,
        }
    }
}

fn version_label(version: Option<Offset>) -> String {
    version.map_or_else(|| "none".to_owned(), |version| version.to_string())
}
