//! Command line of the node.

use std::{path::PathBuf, process::ExitCode};

use lexopt::prelude::{Long, Short, ValueExt};

use crate::{
    node::{StartError, StopOutcome, run_node},
    settings::{NodeSettings, SettingsError, read_secret},
};

/// Exit code when settings or arguments are refused.
pub const EXIT_USAGE: u8 = 2;
/// Exit code when a drain was cut short.
pub const EXIT_CUT: u8 = 3;

const HELP: &str = "\
mustardgate: a node of the serving system

Usage: mustardgate --settings FILE [--check]

  --settings FILE  settings of the node (docs/SETTINGS.md)
  --check          check the settings and exit
  --version        print the version
  --help           print this text

Exit codes: 0 stopped with every request finished; 1 could not start or run; 2 settings or arguments refused;
3 stopped with requests ended early.
";

/// Arguments of a program that runs a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeArguments {
    /// Path of the settings file.
    pub settings: Option<PathBuf>,
    /// Whether the program exits after checking the settings.
    pub is_check_only: bool,
    /// Text to print instead of running.
    pub text: Option<String>,
}

/// Parses the arguments of a program that runs a node; `program` and `help` are its name and help text.
///
/// # Errors
/// The parser's error, which names the argument.
pub fn parse_arguments(mut parser: lexopt::Parser, program: &str, help: &str) -> Result<NodeArguments, lexopt::Error> {
    let mut arguments = NodeArguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => arguments.settings = Some(parser.value()?.parse()?),
            Long("check") => arguments.is_check_only = true,
            Long("help") | Short('h') => arguments.text = Some(help.to_owned()),
            Long("version") => arguments.text = Some(format!("{program} {}\n", env!("CARGO_PKG_VERSION"))),
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

/// Runs the program and returns its exit code.
pub fn run() -> ExitCode {
    match parse_arguments(lexopt::Parser::from_env(), "mustardgate", HELP) {
        Ok(NodeArguments { text: Some(text), .. }) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(NodeArguments {
            settings: Some(path),
            is_check_only,
            ..
        }) => start(&path, is_check_only),
        Ok(_) => usage_error("--settings FILE is needed"),
        Err(error) => usage_error(&error.to_string()),
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("mustardgate: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn start(path: &std::path::Path, is_check_only: bool) -> ExitCode {
    let settings = match NodeSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => return usage_error(&error.to_string()),
    };
    if let Err(error) = check_key_files(&settings) {
        return usage_error(&error.to_string());
    }
    if is_check_only {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    run_runtime(settings)
}

fn check_key_files(settings: &NodeSettings) -> Result<(), SettingsError> {
    read_secret(&settings.operators.key_file)?;
    settings.peers.read_key()?;
    Ok(())
}

fn run_runtime(settings: NodeSettings) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("mustardgate: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    exit_code("mustardgate", runtime.block_on(run_node(settings)))
}

/// Returns the exit code of a program whose node has ended, and prints the error if it could not start.
pub fn exit_code(program: &str, outcome: Result<StopOutcome, StartError>) -> ExitCode {
    match outcome {
        Ok(StopOutcome::Drained) => ExitCode::SUCCESS,
        Ok(StopOutcome::Cut) => ExitCode::from(EXIT_CUT),
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}
