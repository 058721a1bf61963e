//! Log output as JSON lines or as text for a terminal.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::settings::{LogFormat, LoggingSettings};

/// Maximum number of lines buffered for a slow reader; further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Builds the root logger of a node; dropping the last clone flushes it.
pub fn build_logger(settings: &LoggingSettings, node_name: &str) -> Logger {
    let level = if settings.debug { Level::Debug } else { Level::Info };
    let root = o!("node" => node_name.to_owned());
    match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(io::stdout()).add_default_keys().build().fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(MAX_BUFFERED_LINES)
                .build()
                .fuse();
            Logger::root(LevelFilter::new(drain, level).fuse(), root)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(MAX_BUFFERED_LINES)
                .build()
                .fuse();
            Logger::root(LevelFilter::new(drain, level).fuse(), root)
        }
    }
}
