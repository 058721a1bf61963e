//! Reads of the log for other nodes, of which few are under way at once.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    ports::{LogTopic, TopicError, TopicLog, TopicPage, TopicPosition},
};
use tokio::sync::OnceCell;

/// Most reads of a keyed topic that are under way at once for other nodes. Each may bring a whole configuration over the link.
const MAX_READS: usize = 2;

/// What other nodes ask of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PageQuery {
    /// The records from an offset on.
    Changes(TopicPosition),
    /// The newest record of every key.
    Newest,
}

/// Identifies a read. A read that nobody may share has a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ReadKey {
    topic: LogTopic,
    query: PageQuery,
    number: Option<u64>,
}

/// A read that is under way or has just ended.
#[derive(Debug)]
struct PageRead {
    began_at: Instant,
    outcome: OnceCell<Result<TopicPage, TopicError>>,
}

/// Shares and limits the reads of the log for other nodes, whose pages all come over this node's link.
///
/// Reads of the configuration are shared: its pages are large, and readers ask how old they are. Of the other topics each
/// caller takes for granted that its page shows what was written before it asked, so they get their own.
#[derive(Debug, Default)]
pub struct SharedReads {
    reads: Mutex<HashMap<ReadKey, Weak<PageRead>>>,
    last_number: AtomicU64,
}

impl SharedReads {
    /// Reads a page, or joins the read of another caller; returns `None` at once when too many reads are under way.
    pub async fn read(
        &self,
        log: &dyn TopicLog,
        topic: LogTopic,
        query: PageQuery,
        wait: Duration,
    ) -> Option<Result<TopicPage, TopicError>> {
        let asked_at = clock::now();
        let read = self.join_or_begin(topic, query, asked_at)?;
        // If the caller whose task reads leaves, the next one reads.
        let reading = read.outcome.get_or_init(|| async {
            match query {
                PageQuery::Changes(from) => log.read(topic, from, wait).await,
                PageQuery::Newest => log.newest(topic).await,
            }
        });
        let mut outcome = reading.await.clone();
        if let Ok(page) = &mut outcome {
            page.began_before = asked_at.saturating_duration_since(read.began_at);
        }
        Some(outcome)
    }

    fn join_or_begin(&self, topic: LogTopic, query: PageQuery, now: Instant) -> Option<Arc<PageRead>> {
        let is_shared = topic == LogTopic::Configuration;
        let number = (!is_shared).then(|| self.last_number.fetch_add(1, Ordering::Relaxed));
        let key = ReadKey { topic, query, number };
        let mut reads = self.reads.lock().expect("no holder of the lock panics");
        reads.retain(|_, read| read.upgrade().is_some_and(|read| !read.outcome.initialized()));
        if let Some(read) = reads.get(&key).and_then(Weak::upgrade) {
            return Some(read);
        }
        let others = reads.keys().filter(|other| other.topic == topic);
        if topic.is_keyed() && others.count() >= MAX_READS {
            return None;
        }
        let read = Arc::new(PageRead {
            began_at: now,
            outcome: OnceCell::new(),
        });
        reads.insert(key, Arc::downgrade(&read));
        Some(read)
    }
}
