//! Log lines about requests, bounded in number whatever the load.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Mutex,
    time::{Duration, Instant},
};

use metrics::counter;
use mustardgate::events::{EventKind, RELAY_LINES_DROPPED};
use mustardgate_core::{clock, ids::RequestId};
use slog::{KV, Logger, OwnedKV, SendSyncRefUnwindSafeKV, o};

use crate::settings::LogLineSettings;

/// Time over which dropped lines are counted before the count is written.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Writes lines about requests within a rate, and samples requests that went well by their identifier, so that every
/// node samples the same ones.
#[derive(Debug)]
pub struct DecisionLog {
    logger: Logger,
    settings: LogLineSettings,
    window: Mutex<LineWindow>,
}

#[derive(Debug)]
struct LineWindow {
    began_at: Instant,
    written: u32,
    dropped: u64,
}

impl DecisionLog {
    /// Creates a log that writes to `logger`.
    pub fn new(logger: Logger, settings: LogLineSettings) -> Self {
        Self {
            logger,
            settings,
            window: Mutex::new(LineWindow {
                began_at: clock::now(),
                written: 0,
                dropped: 0,
            }),
        }
    }

    /// Returns the logger for lines that are not about requests.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns whether requests with this identifier are written even when they go well.
    pub fn is_sampled(&self, request: &RequestId) -> bool {
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        hasher.finish().is_multiple_of(self.settings.sample_one_in.max(1))
    }

    /// Writes a line about a request unless the rate is used up.
    pub fn write<T>(&self, event: EventKind, request: &RequestId, values: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
        OwnedKV<T>: KV,
    {
        if self.admit() {
            event.write(&self.logger.new(o!("request" => request.to_string())), values);
        }
    }

    fn admit(&self) -> bool {
        let mut window = self.window.lock().expect("no holder of the lock panics");
        let now = clock::now();
        if now.saturating_duration_since(window.began_at) >= REPORT_INTERVAL {
            if window.dropped > 0 {
                RELAY_LINES_DROPPED.write(&self.logger, o!("lines" => window.dropped));
            }
            *window = LineWindow {
                began_at: now,
                written: 0,
                dropped: 0,
            };
        }
        if window.written < self.settings.request_lines_per_s {
            window.written += 1;
            return true;
        }
        window.dropped += 1;
        counter!("mustardgate_log_lines_dropped_total").increment(1);
        false
    }
}
