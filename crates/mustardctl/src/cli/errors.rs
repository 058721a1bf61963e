//! Errors of subcommands and the exit codes that stand for them.

use mustardgate_core::ids::{ChangeId, Offset};
use snafu::Snafu;

/// Exit codes, documented in `docs/MUSTARDCTL.md`.
pub mod exit_codes {
    /// Something else failed, or a request was answered with an error.
    pub const FAILED: u8 = 1;
    /// The command line was not understood.
    pub const USAGE: u8 = 2;
    /// A resource has another version than expected.
    pub const CONFLICT: u8 = 3;
    /// A change may have been accepted.
    pub const OUTCOME_UNKNOWN: u8 = 4;
    /// The server did not answer.
    pub const UNREACHABLE: u8 = 5;
    /// A declaration is not valid.
    pub const INVALID: u8 = 6;
    /// Declarations and configuration differ.
    pub const DIFFERENT: u8 = 7;
    /// A resource does not exist.
    pub const NOT_FOUND: u8 = 8;
}

/// Why a subcommand did not succeed.
#[derive(Debug, Snafu)]
pub enum CommandError {
    /// The command line was not understood.
    #[snafu(display("{reason}"))]
    Usage {
        /// What is wrong.
        reason: String,
    },
    /// A resource has another version than expected.
    #[snafu(display("{resource} was changed by someone else; its version is {}", show_version(*current)))]
    Conflict {
        /// The resource.
        resource: String,
        /// Version it has now.
        current: Option<Offset>,
    },
    /// A change may have been accepted.
    #[snafu(display("the outcome of change {change} to {resource} is not known; apply again to find out"))]
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
        /// What failed.
        reason: String,
    },
    /// Declarations are not valid.
    #[snafu(display("{}", faults.join("\n  ")))]
    Invalid {
        /// What is wrong, one line each.
        faults: Vec<String>,
    },
    /// Declarations and configuration differ.
    #[snafu(display("{count} resources differ"))]
    Different {
        /// Number of resources.
        count: usize,
    },
    /// A resource does not exist.
    #[snafu(display("{resource} does not exist"))]
    NotFound {
        /// The resource.
        resource: String,
    },
    /// Something else failed.
    #[snafu(display("{reason}"))]
    Failed {
        /// What failed.
        reason: String,
    },
}

impl CommandError {
    /// Returns the exit code that stands for the error.
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

fn show_version(version: Option<Offset>) -> String {
    version.map_or_else(|| "none".to_owned(), |version| version.to_string())
}
