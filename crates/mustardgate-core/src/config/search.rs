//! Search for the newest snapshot, backwards from the end of the log.

use crate::{
    ids::Offset,
    log::{LogRecord, SnapshotRecord},
    ports::LogPage,
};

/// What a page showed.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum SearchStep {
    /// More pages have to be read.
    Continue,
    /// The newest usable snapshot.
    Found(Box<SnapshotRecord>),
    /// The log is kept from its beginning and holds no snapshot.
    Origin,
    /// No usable snapshot is kept.
    Exhausted,
}

/// Search that reads windows of the log from its end towards the oldest record kept.
///
/// A snapshot is due long before the previous one leaves the retention, so the search ends within half of it.
#[derive(Clone, Debug)]
pub struct SnapshotSearch {
    earliest: Offset,
    window: u64,
    low: Offset,
    high: Offset,
    cursor: Offset,
    newest: Option<Box<SnapshotRecord>>,
}

impl SnapshotSearch {
    /// Starts at the end of a log, with windows of `window` records.
    pub fn new(earliest: Offset, end: Offset, window: u64) -> Self {
        let low = end.saturating_sub(window).max(earliest);
        Self {
            earliest,
            window,
            low,
            high: end,
            cursor: low,
            newest: None,
        }
    }

    /// Returns the offset to read from and the number of records wanted.
    pub fn next_read(&self) -> (Offset, usize) {
        let wanted = self.high.saturating_sub(self.cursor).max(1);
        (self.cursor, wanted as usize)
    }

    /// Returns the oldest offset that was kept when the search began.
    pub fn earliest(&self) -> Offset {
        self.earliest
    }

    pub(super) fn on_page(&mut self, page: &LogPage) -> SearchStep {
        self.earliest = self.earliest.max(page.earliest);
        let high = self.high;
        for entry in page.entries.iter().filter(|entry| entry.offset < high) {
            self.cursor = entry.offset + 1;
            if let LogRecord::Snapshot(snapshot) = &entry.record {
                self.consider(snapshot);
            }
        }
        if !page.entries.is_empty() && self.cursor < self.high {
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
            // A snapshot that cannot be installed makes the caller go on with the window before.
            self.step_back();
            return SearchStep::Found(snapshot);
        }
        if self.low > self.earliest {
            self.step_back();
            return SearchStep::Continue;
        }
        if self.earliest == 0 {
            return SearchStep::Origin;
        }
        SearchStep::Exhausted
    }

    fn step_back(&mut self) {
        self.high = self.low;
        self.low = self.low.saturating_sub(self.window).max(self.earliest);
        self.cursor = self.low;
    }
}
