//! Output: results as tables or JSON on standard output, progress on standard error if it is a terminal.

mod table;

use std::{
    env,
    io::{self, IsTerminal, Write},
};

use derive_more::Display;
use serde::Serialize;

pub use self::table::TextTable;

/// Format of the results.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables and text for people.
    #[default]
    #[display("table")]
    Table,
    /// JSON for programs.
    #[display("json")]
    Json,
}

impl std::str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(format!("{other} is neither table nor json")),
        }
    }
}

/// Prints results and progress.
#[derive(Clone, Copy, Debug)]
pub struct OutputPrinter {
    /// Format of the results.
    pub format: OutputFormat,
    is_coloured: bool,
    shows_progress: bool,
}

/// Style of a word, shown as its colour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextStyle {
    /// A state is as desired.
    Success,
    /// A state is not as desired.
    Failure,
    /// A resource changes.
    Change,
}

impl OutputPrinter {
    /// Creates a printer; it uses colours if standard output is a terminal and `NO_COLOR` is unset or empty, and shows
    /// progress if standard error is a terminal.
    pub fn new(format: OutputFormat) -> Self {
        let is_colour_disabled = env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        Self {
            format,
            is_coloured: io::stdout().is_terminal() && !is_colour_disabled,
            shows_progress: io::stderr().is_terminal(),
        }
    }

    /// Returns whether results are JSON.
    pub fn is_json(&self) -> bool {
        self.format == OutputFormat::Json
    }

    /// Prints a value as JSON.
    pub fn print_json<T: Serialize>(&self, value: &T) {
        let text = serde_json::to_string_pretty(value).expect("results have no maps with keys that are not text");
        self.print_line(&text);
    }

    /// Prints a line; errors, such as a closed pipe, are ignored.
    pub fn print_line(&self, line: &str) {
        drop(writeln!(io::stdout(), "{line}"));
    }

    /// Prints text without a line break and flushes the output.
    pub fn print_text(&self, text: &str) {
        let mut output = io::stdout();
        drop(write!(output, "{text}").and_then(|()| output.flush()));
    }

    /// Shows a line of progress if standard error is a terminal.
    pub fn show_progress(&self, line: &str) {
        if self.shows_progress {
            drop(writeln!(io::stderr(), "{line}"));
        }
    }

    /// Returns a word in the colour of a style, or unchanged if the printer uses no colours.
    pub fn styled(&self, word: &str, style: TextStyle) -> String {
        if !self.is_coloured {
            return word.to_owned();
        }
        let code = match style {
            TextStyle::Success => 32,
            TextStyle::Failure => 31,
            TextStyle::Change => 33,
        };
        format!("\u{1b}[{code}m{word}\u{1b}[0m")
    }
}
