//! Bounds on the log lines about records, whose number and length others choose.

use std::{
    collections::BTreeMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use smol_str::SmolStr;

/// Window of the limit on lines about refused records.
const WINDOW_TIME: Duration = Duration::from_secs(10);
/// Lines about refused records in one window.
const MAX_LINES: u32 = 20;
/// Most keys whose last refused record is remembered.
const MAX_KEYS: usize = 4_096;
/// Longest text of a record in a log line, in characters.
const MAX_TEXT_CHARS: usize = 64;
/// Most names of a list in a log line.
const MAX_NAMES: usize = 64;

/// Limits the lines about refused records; a writer may repeat such a record with each heartbeat.
#[derive(Debug, Default)]
pub struct RefusalLog {
    window: Mutex<RefusalWindow>,
    /// Offset of the last refused record of each key.
    offsets: Mutex<BTreeMap<SmolStr, u64>>,
}

#[derive(Debug, Default)]
struct RefusalWindow {
    began_at: Option<Instant>,
    written: u32,
    unlogged: u64,
}

impl RefusalLog {
    /// Records a refused record; returns whether it is new, as a complete read returns those of before again.
    pub fn is_new(&self, key: &str, offset: u64) -> bool {
        let mut offsets = self.offsets.lock().expect("no holder of the lock panics");
        if offsets.len() >= MAX_KEYS && !offsets.contains_key(key) {
            offsets.pop_first();
        }
        offsets.insert(key.into(), offset) != Some(offset)
    }

    /// Returns whether a line may be written now, as the number of records since the last one that got none.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let mut window = self.window.lock().expect("no holder of the lock panics");
        let is_over = |at: Instant| now.saturating_duration_since(at) >= WINDOW_TIME;
        if window.began_at.is_none_or(is_over) {
            window.began_at = Some(now);
            window.written = 0;
        }
        if window.written >= MAX_LINES {
            window.unlogged += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.unlogged))
    }
}

/// Returns the begin of a text of a record.
pub(crate) fn shorten(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}

/// Joins names of a record; of a long list, says how many it has.
pub(crate) fn list_names<T: AsRef<str>>(names: impl ExactSizeIterator<Item = T>) -> String {
    let count = names.len();
    let mut listed: Vec<String> = names.take(MAX_NAMES).map(|name| shorten(name.as_ref())).collect();
    if count > MAX_NAMES {
        listed.push(format!("... ({count})"));
    }
    listed.join(",")
}
