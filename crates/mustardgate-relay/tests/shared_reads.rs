//! Tests of reads of the log for other nodes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use futures::future::join_all;
use mustardgate_core::{
    ids::Offset,
    ports::{ConditionalAppendError, LogTopic, TopicError, TopicLog, TopicPage, TopicPosition},
};
use mustardgate_relay::peers::{PageQuery, SharedReads};
use tokio::time;

const READ_TIME: Duration = Duration::from_millis(400);
const CALLERS: usize = 12;

/// A log whose pages take a while.
#[derive(Debug, Default)]
struct SlowLog {
    reads: AtomicUsize,
}

#[async_trait]
impl TopicLog for SlowLog {
    async fn read(&self, _topic: LogTopic, from: TopicPosition, _wait: Duration) -> Result<TopicPage, TopicError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        time::sleep(READ_TIME).await;
        Ok(TopicPage {
            next: from.offset + 1,
            ..TopicPage::default()
        })
    }

    async fn newest(&self, topic: LogTopic) -> Result<TopicPage, TopicError> {
        self.read(topic, TopicPosition::default(), Duration::ZERO).await
    }

    async fn append_at(
        &self,
        _topic: LogTopic,
        _at: TopicPosition,
        _value: Vec<u8>,
    ) -> Result<Offset, ConditionalAppendError> {
        Err(ConditionalAppendError::NotAppended)
    }

    async fn append(&self, _topic: LogTopic, _records: Vec<Vec<u8>>) -> Result<(), TopicError> {
        Err(TopicError::unavailable("not used"))
    }
}

fn from_offset(offset: Offset) -> PageQuery {
    PageQuery::Changes(TopicPosition { era: Some(1), offset })
}

// Guards against a neighbour whose link is filled by the same page, read once for each node that asks.
#[tokio::test(start_paused = true)]
async fn nodes_that_ask_for_the_same_configuration_share_one_read() {
    let (log, reads) = (SlowLog::default(), SharedReads::default());
    let calls = (0..CALLERS).map(|_| reads.read(&log, LogTopic::Configuration, from_offset(7), Duration::ZERO));
    let outcomes = join_all(calls).await;
    assert!(
        outcomes
            .iter()
            .all(|outcome| matches!(outcome, Some(Ok(page)) if page.next == 8)),
        "{outcomes:?}"
    );
    assert_eq!(log.reads.load(Ordering::Relaxed), 1);
}

// Guards against a page that counts as younger than the read that brought it.
#[tokio::test(start_paused = true)]
async fn a_caller_that_joins_a_read_learns_how_long_it_had_been_under_way() {
    let (log, reads) = (SlowLog::default(), SharedReads::default());
    let first = reads.read(&log, LogTopic::Configuration, PageQuery::Newest, Duration::ZERO);
    let second = async {
        time::sleep(READ_TIME / 2).await;
        reads
            .read(&log, LogTopic::Configuration, PageQuery::Newest, Duration::ZERO)
            .await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.expect("read").expect("a page").began_before, Duration::ZERO);
    assert_eq!(second.expect("read").expect("a page").began_before, READ_TIME / 2);
}

// Guards against callers that get nothing, or wait for a second read, because the one that began it has left.
#[tokio::test(start_paused = true)]
async fn a_read_goes_on_when_the_caller_that_began_it_leaves() {
    let (log, reads) = (SlowLog::default(), SharedReads::default());
    let read = || reads.read(&log, LogTopic::Configuration, from_offset(7), Duration::ZERO);
    let first = time::timeout(READ_TIME / 4, read());
    let (first, second) = tokio::join!(first, read());
    first.expect_err("the first caller leaves");
    assert!(matches!(second, Some(Ok(_))), "{second:?}");
}

#[tokio::test(start_paused = true)]
async fn a_third_read_of_a_topic_is_refused_at_once() {
    let (log, reads) = (SlowLog::default(), SharedReads::default());
    let began_at = time::Instant::now();
    let calls = (0..3).map(|offset| {
        let reading = reads.read(&log, LogTopic::Configuration, from_offset(offset), Duration::ZERO);
        async move { (reading.await.is_some(), began_at.elapsed()) }
    });
    let outcomes = join_all(calls).await;
    assert_eq!(outcomes[2], (false, Duration::ZERO), "{outcomes:?}");
    assert!(outcomes[..2].iter().all(|outcome| outcome.0), "{outcomes:?}");
    let later = reads.read(&log, LogTopic::Configuration, from_offset(9), Duration::ZERO);
    assert!(later.await.is_some());
}

// Guards against a list of runners from before the question, on which the versions of streams would be decided.
#[tokio::test(start_paused = true)]
async fn reads_of_the_runners_are_not_shared() {
    let log = Arc::new(SlowLog::default());
    let reads = SharedReads::default();
    let calls = (0..2).map(|_| reads.read(&*log, LogTopic::Runners, from_offset(7), Duration::ZERO));
    let outcomes = join_all(calls).await;
    assert!(outcomes.iter().all(Option::is_some), "{outcomes:?}");
    assert_eq!(log.reads.load(Ordering::Relaxed), 2);
}
