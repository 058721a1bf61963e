//! The newest record of each key, as read from the log, for other nodes.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use mustardgate_core::{
    ids::Offset,
    ports::{LogTopic, TopicError, TopicPage, TopicRecord},
};
use smol_str::SmolStr;
use tokio::sync::{Notify, futures::Notified};

/// Dropped keys that are remembered, so that readers hear of them.
const MAX_DROPPED: usize = 4_096;

/// Keeps the newest records of the keyed topics, for nodes that read them here instead of from the log, and for those that
/// start while the log is away.
#[derive(Debug, Default)]
pub struct RecordShelf {
    configuration: Mutex<TopicShelf>,
    runners: Mutex<TopicShelf>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct TopicShelf {
    records: BTreeMap<SmolStr, TopicRecord>,
    /// Offset from which on every change is known.
    complete_from: Offset,
    next: Offset,
    read_at: Option<Instant>,
}

impl RecordShelf {
    /// Takes what was read at `now`; `is_whole` says that these are all records there are.
    pub fn take(&self, topic: LogTopic, page: &TopicPage, is_whole: bool, now: Instant) {
        let Some(mut kept) = self.shelf(topic) else { return };
        if is_whole {
            kept.records.clear();
            kept.complete_from = page.next;
        }
        for record in &page.records {
            kept.records.insert(record.key.clone(), record.clone());
        }
        kept.next = kept.next.max(page.next);
        kept.read_at = Some(now);
        kept.forget_dropped();
        drop(kept);
        if !page.records.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Returns the newest record of every key.
    pub fn records(&self, topic: LogTopic) -> Vec<TopicRecord> {
        self.shelf(topic)
            .map(|shelf| shelf.records.values().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the changes from an offset on, and when the log was last read.
    ///
    /// # Errors
    /// [`TopicError`] when the changes are not known from there on.
    pub fn changes(&self, topic: LogTopic, from: Offset) -> Result<(TopicPage, Instant), TopicError> {
        let known = self.shelf(topic).and_then(|kept| {
            let read_at = kept.read_at?;
            let later = kept.records.values().filter(|record| record.offset >= from);
            let mut records: Vec<TopicRecord> = later.cloned().collect();
            records.sort_by_key(|record| record.offset);
            let page = TopicPage {
                next: kept.next.max(from),
                records,
            };
            (from >= kept.complete_from).then_some((page, read_at))
        });
        known.ok_or_else(|| TopicError::unavailable("the neighbour does not know the changes"))
    }

    /// Returns a future that ends with the next change of any topic after this call.
    pub fn next_change(&self) -> Notified<'_> {
        self.changed.notified()
    }

    fn shelf(&self, topic: LogTopic) -> Option<MutexGuard<'_, TopicShelf>> {
        let records = match topic {
            LogTopic::Configuration => &self.configuration,
            LogTopic::Runners => &self.runners,
            LogTopic::Leases => return None,
        };
        Some(records.lock().expect("no holder of the lock panics"))
    }
}

impl TopicShelf {
    /// Forgets dropped keys beyond the limit; readers from before then have to read everything anew.
    fn forget_dropped(&mut self) {
        let dropped = self.records.values().filter(|record| record.value.is_none());
        let mut offsets: Vec<Offset> = dropped.map(|record| record.offset).collect();
        if offsets.len() <= MAX_DROPPED {
            return;
        }
        offsets.sort_unstable();
        let oldest_kept = offsets[offsets.len() - MAX_DROPPED / 2];
        self.complete_from = self.complete_from.max(oldest_kept);
        self.records
            .retain(|_, record| record.value.is_some() || record.offset >= oldest_kept);
    }
}
