//! Options of subcommands, declared as tables, and the values given for them.

use std::{collections::BTreeMap, str::FromStr};

use lexopt::{Arg, ValueExt};

use super::errors::CommandError;

/// One option of a subcommand.
#[derive(Clone, Copy, Debug)]
pub struct OptionSpec {
    /// Name without the leading dashes.
    pub name: &'static str,
    /// Name of its value in the help, or `None` for a switch.
    pub value: Option<&'static str>,
    /// One line of help.
    pub help: &'static str,
}

/// A subcommand as its help shows it.
#[derive(Clone, Copy, Debug)]
pub struct CommandSpec {
    /// Name of the subcommand.
    pub name: &'static str,
    /// One line that says what it does.
    pub summary: &'static str,
    /// Positional arguments as the usage line shows them.
    pub positionals: &'static str,
    /// Largest number of positional arguments.
    pub max_positionals: usize,
    /// Options beside those of every subcommand.
    pub options: &'static [OptionSpec],
}

/// Options of every subcommand.
pub const COMMON_OPTIONS: &[OptionSpec] = &[
    OptionSpec {
        name: "server",
        value: Some("ADDRESS"),
        help: "address to talk to, or several with commas; MUSTARDCTL_SERVER otherwise",
    },
    OptionSpec {
        name: "key-file",
        value: Some("FILE"),
        help: "file with the bearer key; MUSTARDCTL_KEY_FILE otherwise",
    },
    OptionSpec {
        name: "output",
        value: Some("table|json"),
        help: "form of the output; table by default",
    },
];

/// Values given on the command line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ParsedArguments {
    values: BTreeMap<&'static str, Vec<String>>,
    positionals: Vec<String>,
}

/// Parses what follows the name of a subcommand; `None` means that its help was asked for.
///
/// # Errors
/// The error of `lexopt` for an unknown option or a missing value.
pub fn parse(spec: &CommandSpec, mut parser: lexopt::Parser) -> Result<Option<ParsedArguments>, lexopt::Error> {
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
        let value = match option.value {
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
    /// Returns whether a switch or option was given.
    pub fn has(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }

    /// Returns the last value of an option.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.all(name).last().map(String::as_str)
    }

    /// Returns every value of an option that may be repeated.
    pub fn all(&self, name: &str) -> &[String] {
        self.values.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns a value that must be given.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when it was not.
    pub fn required(&self, name: &str) -> Result<&str, CommandError> {
        self.value(name).ok_or_else(|| CommandError::Usage {
            reason: format!("--{name} is needed"),
        })
    }

    /// Returns a parsed value, or the default when none was given.
    ///
    /// # Errors
    /// [`CommandError::Usage`] when it cannot be parsed.
    pub fn parsed<T: FromStr>(&self, name: &str, default: T) -> Result<T, CommandError> {
        match self.value(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_error| CommandError::Usage {
                reason: format!("--{name} cannot be {text}"),
            }),
        }
    }

    /// Returns the positional arguments.
    pub fn positionals(&self) -> &[String] {
        &self.positionals
    }

    /// Returns a positional argument.
    pub fn positional(&self, index: usize) -> Option<&str> {
        self.positionals.get(index).map(String::as_str)
    }
}
