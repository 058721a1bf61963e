//! Log lines about requests, limited to a rate that does not depend on the load, and about records of other writers.

mod records;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Mutex,
    time::{Duration, Instant},
};

use metrics::counter;
use mustardgate::events::{EventKind, RELAY_LINES_DROPPED};
use mustardgate_core::{clock, ids::RequestId};
use slog::{KV, Logger, OwnedKV, SendSyncRefUnwindSafeKV, o};

pub use self::records::RefusalLog;
pub(crate) use self::records::{list_names, shorten};
use crate::settings::LogLineSettings;

/// Window of the rate limit; the number of lines dropped in it is logged after its end.
const WINDOW_TIME: Duration = Duration::from_secs(1);

/// Writes lines about requests within a rate limit, and samples successful requests by their identifier, so that every
/// node samples the same ones.
#[derive(Debug)]
pub struct RequestLog {
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

impl RequestLog {
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

    /// Returns the logger for lines that are not about requests and are not limited.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns whether a request with this identifier is logged even if it succeeds.
    pub fn is_sampled(&self, request: &RequestId) -> bool {
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        hasher.finish().is_multiple_of(self.settings.sample_one_in.max(1))
    }

    /// Writes a line about a request unless the rate limit is reached.
    pub fn write<T>(&self, event: EventKind, request: &RequestId, values: OwnedKV<T>)
    where
        T: SendSyncRefUnwindSafeKV + 'static,
        OwnedKV<T>: KV,
    {
        if self.admit_line() {
            event.write(&self.logger.new(o!("request" => request.to_string())), values);
        }
    }

    fn admit_line(&self) -> bool {
        let mut window = self.window.lock().expect("no holder of the lock panics");
        let now = clock::now();
        if now.saturating_duration_since(window.began_at) >= WINDOW_TIME {
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
