//! Settings of the log output.

use serde::Deserialize;

/// Log output.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Format of a line.
    pub format: LogFormat,
    /// Whether debug events are written too.
    pub debug: bool,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Text for a terminal.
    Terminal,
}
