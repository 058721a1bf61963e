//! Settings of log lines.

use serde::Deserialize;

/// Log lines.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSettings {
    /// Shape of a line.
    pub format: LogFormat,
    /// Whether debug events are written too.
    pub debug: bool,
}

/// Shape of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Terminal,
}
