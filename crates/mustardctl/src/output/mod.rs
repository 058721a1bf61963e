//! Results as tables or JSON on standard output, progress on a terminal only.

mod table;

use std::{
    env,
    io::{self, IsTerminal, Write},
};

use derive_more::Display;
use serde::Serialize;

pub use self::table::TextTable;

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum OutputFormat {
    /// A table for people.
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
    /// Form of results.
    pub format: OutputFormat,
    is_coloured: bool,
    shows_progress: bool,
}

/// Meaning of a coloured word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WordTone {
    /// Something is as wanted.
    Good,
    /// Something is not as wanted.
    Bad,
    /// Something changes.
    Change,
}

impl OutputPrinter {
    /// Creates a printer; colour and progress depend on where the output goes and on `NO_COLOR`.
    pub fn new(format: OutputFormat) -> Self {
        let is_plain = env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        Self {
            format,
            is_coloured: io::stdout().is_terminal() && !is_plain,
            shows_progress: io::stderr().is_terminal(),
        }
    }

    /// Returns whether results are JSON.
    pub fn is_json(&self) -> bool {
        self.format == OutputFormat::Json
    }

    /// Prints a value as JSON.
    pub fn print_json<T: Serialize>(&self, value: &T) {
        let text = serde_json::to_string_pretty(value).expect("results have text keys");
        self.print_line(&text);
    }

    /// Prints a line; a reader that went away is not an error.
    pub fn print_line(&self, line: &str) {
        drop(writeln!(io::stdout(), "{line}"));
    }

    /// Prints text without a line end, at once.
    pub fn print_piece(&self, text: &str) {
        let mut output = io::stdout();
        drop(write!(output, "{text}").and_then(|()| output.flush()));
    }

    /// Shows progress, on a terminal only.
    pub fn show_progress(&self, line: &str) {
        if self.shows_progress {
            drop(writeln!(io::stderr(), "{line}"));
        }
    }

    /// Colours a word when the output is a terminal.
    pub fn tone(&self, word: &str, tone: WordTone) -> String {
        if !self.is_coloured {
            return word.to_owned();
        }
        let code = match tone {
            WordTone::Good => 32,
            WordTone::Bad => 31,
            WordTone::Change => 33,
        };
        format!("\u{1b}[{code}m{word}\u{1b}[0m")
    }
}
