//! Tables of the options of subcommands, and the parsing of their values.

use std::{collections::BTreeMap, str::FromStr};

use lexopt::{Arg, ValueExt};

use super::errors::CommandError;

/// One option of a subcommand.
#[derive(Clone, Copy, Debug)]
pub struct OptionSpec {
    /// Long name without the leading dashes.
    pub name: &'static str,
    /// Placeholder for its value in the help, or `None` for a switch.
    pub value_name: Option<&'static str>,
    /// Help text of one line.
    pub help: &'static str,
}

/// Name, arguments and options of a subcommand.
#[derive(Clone, Copy, Debug)]
pub struct CommandSpec {
    /// Name of the subcommand.
    pub name: &'static str,
    /// Summary of one line.
    pub summary: &'static str,
    /// Positional arguments as the usage line shows them.
    pub positionals: &'static str,
    /// Maximum number of positional arguments.
    pub max_positionals: usize,
    /// Options in addition to [`COMMON_OPTIONS`].
    pub options: &'static [OptionSpec],
}

/// Options that every subcommand accepts.
pub const COMMON_OPTIONS: &[OptionSpec] = &[
    OptionSpec {
        name: "server",
        value_name: Some("ADDRESS"),
        help: "server address, or several separated by commas; MUSTARDCTL_SERVER by default",
    },
    OptionSpec {
        name: "key-file",
        value_name: Some("FILE"),
        help: "file with the bearer key; MUSTARDCTL_KEY_FILE by default",
    },
    OptionSpec {
        name: "output",
        value_name: Some("table|json"),
        help: "output format; table by default",
    },
];

/// Option values and positional arguments given on the command line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ParsedArguments {
    values: BTreeMap<&'static str, Vec<String>>,
    positionals: Vec<String>,
}

/// Parses the arguments after the name of a subcommand; returns `None` when they ask for its help.
///
/// # Errors
/// The error of `lexopt` for an unknown option, a missing value or a surplus positional argument.
pub fn parse_arguments(
    spec: &CommandSpec,
    mut parser: lexopt::Parser,
) -> Result<Option<ParsedArguments>, lexopt::Error> {
    let mut arguments = ParsedArguments::default();
    while let Some(argument) = parser.next()? {
        let option = match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            Arg::Short('f') => find_option(spec, "filename"),
            Arg::Long(name) => find_option(spec, name),
            Arg::Value(value) if arguments.positionals.len() < spec.max_positionals => {
                arguments.positionals.push(value.string()?);
                continue;
            }
            Arg::Short(_) | Arg::Value(_) => None,
        };
        let Some(option) = option else {
            return Err(argument.unexpected());
        };
        let value = match option.value_name {
            Some(_) => parser.value()?.string()?,
            None => String::new(),
        };
        arguments.values.entry(option.name).or_default().push(value);
    }
    Ok(Some(arguments))
}

fn find_option(spec: &CommandSpec, name: &str) -> Option<&'static OptionSpec> {
    spec.options
        .iter()
        .chain(COMMON_OPTIONS)
        .find(|option| option.name == name)
}

impl ParsedArguments {
    /// Returns whether an option or switch was given.
    pub fn has(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }

    /// Returns the last value of an option.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.values(name).last().map(String::as_str)
    }

    /// Returns every value of an option that may be repeated, in the order given.
    pub fn values(&self, name: &str) -> &[String] {
        self.values.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the value of a required option.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when it was not given.
    pub fn required(&self, name: &str) -> Result<&str, CommandError> {
        self.value(name).ok_or_else(|| CommandError::Usage {
            reason: format!("--{name} is required"),
        })
    }

    /// Returns the parsed value of an option, or the default when it was not given.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when the value cannot be parsed.
    pub fn parsed<T: FromStr>(&self, name: &str, default: T) -> Result<T, CommandError> {
        match self.value(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_error| CommandError::Usage {
                reason: format!("invalid value {text} for --{name}"),
            }),
        }
    }

    /// Returns the positional arguments.
    pub fn positionals(&self) -> &[String] {
        &self.positionals
    }

    /// Returns the positional argument at an index from 0.
    pub fn positional(&self, index: usize) -> Option<&str> {
        self.positionals.get(index).map(String::as_str)
    }
}
