//! Search for the newest snapshot, backwards from the end of the log.

use crate::{
    ids::Offset,
    log::{LogRecord, SnapshotRecord},
    ports::LogPage,
};

/// Result of one page of the search.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum SearchStep {
    /// More pages have to be read.
    Continue,
    /// The newest usable snapshot was found.
    Found(Box<SnapshotRecord>),
    /// The log is still kept from offset 0 and holds no snapshot, so it can be replayed from the start.
    Origin,
    /// The beginning of the log was trimmed, and no usable snapshot is kept.
    Exhausted,
}

/// Search that reads the log window by window, from its end towards the oldest record kept.
///
/// A snapshot is due long before the previous one leaves the retention, so the search ends within the newer half of the
/// kept records.
#[derive(Clone, Debug)]
pub struct SnapshotSearch {
    earliest: Offset,
    window_records: u64,
    window_start: Offset,
    window_end: Offset,
    cursor: Offset,
    newest: Option<Box<SnapshotRecord>>,
}

impl SnapshotSearch {
    /// Starts at the end of a log, with windows of `window_records` records.
    pub fn new(earliest: Offset, end: Offset, window_records: u64) -> Self {
        let window_start = end.saturating_sub(window_records).max(earliest);
        Self {
            earliest,
            window_records,
            window_start,
            window_end: end,
            cursor: window_start,
            newest: None,
        }
    }

    /// Returns the offset to read from and the number of records to read.
    pub fn next_read(&self) -> (Offset, usize) {
        let limit = self.window_end.saturating_sub(self.cursor).max(1);
        (self.cursor, limit as usize)
    }

    /// Returns the oldest offset that the log kept when its last page was read.
    pub fn earliest(&self) -> Offset {
        self.earliest
    }

    pub(super) fn on_page(&mut self, page: &LogPage) -> SearchStep {
        self.earliest = self.earliest.max(page.earliest);
        let window_end = self.window_end;
        for entry in page.entries.iter().filter(|entry| entry.offset < window_end) {
            self.cursor = entry.offset + 1;
            if let LogRecord::Snapshot(snapshot) = &entry.record {
                self.consider(snapshot);
            }
        }
        if !page.entries.is_empty() && self.cursor < self.window_end {
            return SearchStep::Continue;
        }
        self.end_window()
    }

    fn consider(&mut self, snapshot: &SnapshotRecord) {
        let is_newer = self.newest.as_ref().is_none_or(|newest| newest.as_of < snapshot.as_of);
        if is_newer && snapshot.as_of + 1 >= self.earliest {
            self.newest = Some(Box::new(snapshot.clone()));
        }
    }

    fn end_window(&mut self) -> SearchStep {
        if let Some(snapshot) = self.newest.take() {
            // If the snapshot cannot be installed, the caller continues with the previous window.
            self.move_to_previous_window();
            return SearchStep::Found(snapshot);
        }
        if self.window_start > self.earliest {
            self.move_to_previous_window();
            return SearchStep::Continue;
        }
        if self.earliest == 0 {
            return SearchStep::Origin;
        }
        SearchStep::Exhausted
    }

    fn move_to_previous_window(&mut self) {
        self.window_end = self.window_start;
        self.window_start = self.window_start.saturating_sub(self.window_records).max(self.earliest);
        self.cursor = self.window_start;
    }
}
