//! Cache of the newest record of each key, as read from the log, for other nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use mustardgate_core::{
    ids::Offset,
    ports::{LogEra, LogTopic, TopicError, TopicPage, TopicPosition, TopicRecord},
};
use smol_str::SmolStr;
use tokio::sync::{Notify, futures::Notified};

/// Largest number of tombstones (records of deleted keys) that are kept, so that readers learn of the deletions.
const MAX_TOMBSTONES: usize = 4_096;

/// Caches the newest records of the keyed topics, for nodes that read them here instead of from the log, and for nodes
/// that start while the log is unavailable.
#[derive(Debug, Default)]
pub struct RecordCache {
    configuration: Mutex<TopicCache>,
    runners: Mutex<TopicCache>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct TopicCache {
    records: BTreeMap<SmolStr, TopicRecord>,
    /// Offset from which every change is known.
    complete_from: Offset,
    next: Offset,
    /// Era in which the records were read.
    era: LogEra,
    read_at: Option<Instant>,
}

impl RecordCache {
    /// Stores a page that was received at `now`; `is_snapshot` says that it holds the newest record of every key. Returns the
    /// records that are not older than those known: changes that a snapshot showed already are read again after it.
    pub fn store<'a>(
        &self,
        topic: LogTopic,
        page: &'a TopicPage,
        is_snapshot: bool,
        now: Instant,
    ) -> Vec<&'a TopicRecord> {
        let Some(mut cache) = self.lock(topic) else {
            return Vec::new();
        };
        if is_snapshot {
            cache.begin_snapshot(page);
        }
        let is_current = |record: &&TopicRecord| {
            let known = cache.records.get(&record.key);
            known.is_none_or(|known| known.offset <= record.offset)
        };
        let current: Vec<&TopicRecord> = page.records.iter().filter(is_current).collect();
        for record in &current {
            cache.records.insert(record.key.clone(), TopicRecord::clone(record));
        }
        cache.next = cache.next.max(page.next);
        // The log held more than a part of a page when that was read.
        if !page.is_partial || cache.read_at.is_none() {
            let read_at = now.checked_sub(page.origin.age).unwrap_or(now);
            cache.read_at = cache.read_at.max(Some(read_at));
        }
        cache.prune_tombstones();
        drop(cache);
        if !page.records.is_empty() {
            self.changed.notify_waiters();
        }
        current
    }

    /// Returns the newest record of every key.
    pub fn records(&self, topic: LogTopic) -> Vec<TopicRecord> {
        self.lock(topic)
            .map(|cache| cache.records.values().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the position up to which this node has read a topic, or `None` if it has not.
    pub fn position(&self, topic: LogTopic) -> Option<TopicPosition> {
        let cache = self.lock(topic)?;
        cache.read_at.map(|_| TopicPosition {
            era: Some(cache.era),
            offset: cache.next,
        })
    }

    /// Returns the time at which the log was last read for a topic, by this node or for it.
    pub fn read_at(&self, topic: LogTopic) -> Option<Instant> {
        self.lock(topic)?.read_at
    }

    /// Returns the changes from a position on, and the time at which the log was last read.
    ///
    /// # Errors
    /// [`TopicError`] when the changes from that position on are not known.
    pub fn changes(&self, topic: LogTopic, from: TopicPosition) -> Result<(TopicPage, Instant), TopicError> {
        let known = self.lock(topic).and_then(|cache| {
            let read_at = cache.read_at?;
            let is_same_era = from.era.is_none_or(|era| era == cache.era);
            let from = from.offset;
            let later = cache.records.values().filter(|record| record.offset >= from);
            let mut records: Vec<TopicRecord> = later.cloned().collect();
            records.sort_by_key(|record| record.offset);
            let page = TopicPage {
                next: cache.next.max(from),
                records,
                era: cache.era,
                ..TopicPage::default()
            };
            (is_same_era && from >= cache.complete_from).then_some((page, read_at))
        });
        known.ok_or_else(|| TopicError::unavailable("the neighbour does not have the changes from this offset"))
    }

    /// Returns a future that completes at the next change of any topic after this call.
    pub fn next_change(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Locks the cache of a topic; a topic without keys has none.
    fn lock(&self, topic: LogTopic) -> Option<MutexGuard<'_, TopicCache>> {
        let cache = match topic {
            LogTopic::Configuration => &self.configuration,
            LogTopic::Runners => &self.runners,
            LogTopic::Leases | LogTopic::StreamOrigins | LogTopic::Crashes => return None,
        };
        Some(cache.lock().expect("no holder of the lock panics"))
    }
}

impl TopicCache {
    /// Prepares for a page with the newest record of every key. If it goes on from what is known, readers here need not
    /// read the topic anew: they are told of the keys that it no longer has.
    fn begin_snapshot(&mut self, page: &TopicPage) {
        let is_later = self.read_at.is_some() && self.era == page.era && self.next < page.next;
        if !is_later {
            *self = Self {
                complete_from: page.next,
                next: page.next,
                era: page.era,
                ..Self::default()
            };
            return;
        }
        let listed: BTreeSet<&SmolStr> = page.records.iter().map(|record| &record.key).collect();
        for (key, record) in &mut self.records {
            if !listed.contains(key) && record.value.is_some() {
                record.value = None;
                record.offset = page.next - 1;
            }
        }
    }

    /// Removes the older half of the tombstones once they exceed the limit; readers from an earlier offset then have to
    /// read all records again.
    fn prune_tombstones(&mut self) {
        let tombstones = self.records.values().filter(|record| record.value.is_none());
        let mut offsets: Vec<Offset> = tombstones.map(|record| record.offset).collect();
        if offsets.len() <= MAX_TOMBSTONES {
            return;
        }
        offsets.sort_unstable();
        let oldest_kept = offsets[offsets.len() - MAX_TOMBSTONES / 2];
        self.complete_from = self.complete_from.max(oldest_kept);
        self.records
            .retain(|_, record| record.value.is_some() || record.offset >= oldest_kept);
    }
}
