//! Log output as JSON lines or as text for a terminal.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::settings::{LogFormat, LoggingSettings};

/// Lines that may wait for a slow reader before further ones are dropped and counted.
const LINE_BUFFER: usize = 4_096;

/// Builds the root logger of a node; dropping the last clone flushes it.
pub fn build_logger(settings: &LoggingSettings, node: &str) -> Logger {
    let level = if settings.debug { Level::Debug } else { Level::Info };
    let root = o!("node" => node.to_owned());
    match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(io::stdout()).add_default_keys().build().fuse();
            let drain = slog_async::Async::new(drain).chan_size(LINE_BUFFER).build().fuse();
            Logger::root(LevelFilter::new(drain, level).fuse(), root)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            let drain = slog_async::Async::new(drain).chan_size(LINE_BUFFER).build().fuse();
            Logger::root(LevelFilter::new(drain, level).fuse(), root)
        }
    }
}
