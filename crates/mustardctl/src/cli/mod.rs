//! Parses the command line and runs the subcommand.

mod arguments;
mod context;
mod errors;
mod help;

use std::process::ExitCode;

pub use self::{
    arguments::{CommandSpec, OptionSpec, ParsedArguments, parse_arguments},
    context::{CommandContext, read_key},
    errors::{CommandError, exit_codes},
    help::{command_help, program_help},
};
use crate::commands::{CommandEntry, entries};

/// Action that the command line requests.
#[derive(Debug)]
pub enum Invocation {
    /// Print a text and exit.
    Print(String),
    /// Run a subcommand.
    Run(&'static CommandEntry, ParsedArguments),
}

/// Parses the command line.
///
/// # Errors
/// [`CommandError::Usage`] when it is invalid.
pub fn parse_invocation(mut parser: lexopt::Parser) -> Result<Invocation, CommandError> {
    let command = match parser.next().map_err(usage_error)? {
        None | Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => {
            return Ok(Invocation::Print(program_help()));
        }
        Some(lexopt::Arg::Long("version")) => {
            return Ok(Invocation::Print(format!("mustardctl {}\n", env!("CARGO_PKG_VERSION"))));
        }
        Some(lexopt::Arg::Value(name)) => name.to_string_lossy().into_owned(),
        Some(other) => return Err(usage_error(other.unexpected())),
    };
    let entry = entries().iter().find(|entry| entry.spec.name == command);
    let Some(entry) = entry else {
        return Err(CommandError::Usage {
            reason: format!("unknown command {command}; see mustardctl --help"),
        });
    };
    match parse_arguments(&entry.spec, parser).map_err(usage_error)? {
        Some(arguments) => Ok(Invocation::Run(entry, arguments)),
        None => Ok(Invocation::Print(command_help(&entry.spec))),
    }
}

/// Runs the program and returns its exit code.
pub fn run() -> ExitCode {
    let result = parse_invocation(lexopt::Parser::from_env()).and_then(|invocation| match invocation {
        Invocation::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Invocation::Run(entry, arguments) => run_command(entry, arguments),
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mustardctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run_command(entry: &CommandEntry, arguments: ParsedArguments) -> Result<(), CommandError> {
    let context = CommandContext::new(arguments)?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| CommandError::Failed {
        reason: format!("cannot start the runtime: {error}"),
    })?;
    runtime.block_on((entry.run)(&context))
}

#[expect(clippy::needless_pass_by_value, reason = "it is passed to map_err")]
fn usage_error(error: lexopt::Error) -> CommandError {
    CommandError::Usage {
        reason: error.to_string(),
    }
}
