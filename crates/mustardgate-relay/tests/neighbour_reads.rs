//! Tests of reads of the log through neighbours that refuse.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use hyper::StatusCode;
use mustardgate::{
    buffers::BufferBudget,
    http::{ConnectionLimits, bytes_answer, serve_connections},
};
use mustardgate_core::{
    buffers::BufferLimits,
    ids::Offset,
    ports::{ConditionalAppendError, LogTopic, TopicError, TopicLog, TopicPage, TopicPosition},
};
use mustardgate_relay::peers::{LogReply, NeighbourLog, PeerClient};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const BOUND: Duration = Duration::from_secs(3);
const RUNS: usize = 8;

/// A log that does not answer.
#[derive(Debug)]
struct SilentLog;

#[async_trait]
impl TopicLog for SilentLog {
    async fn read(&self, _topic: LogTopic, _from: TopicPosition, _wait: Duration) -> Result<TopicPage, TopicError> {
        Err(TopicError::unavailable("silent"))
    }

    async fn newest(&self, _topic: LogTopic) -> Result<TopicPage, TopicError> {
        Err(TopicError::unavailable("silent"))
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
        Err(TopicError::unavailable("silent"))
    }
}

/// Starts a neighbour that gives the same reply to every call, and counts the calls.
async fn start_neighbour(reply: LogReply, calls: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut body = Vec::new();
    ciborium::into_writer(&reply, &mut body).expect("the reply is encoded");
    let handler = move |_request| {
        calls.fetch_add(1, Ordering::Relaxed);
        let answer = bytes_answer(StatusCode::OK, None, body.clone().into());
        async move { answer }
    };
    let limits = ConnectionLimits {
        max_connections: 16,
        head_timeout: Duration::from_secs(5),
        max_head_bytes: 16 * 1024,
        max_streams: None,
        buffers: None,
    };
    let logger = Logger::root(Discard, o!());
    tokio::spawn(serve_connections(
        listener,
        handler,
        limits,
        CancellationToken::new(),
        logger,
    ));
    address
}

fn neighbour_log(seeds: Vec<SocketAddr>) -> NeighbourLog {
    let limits = BufferLimits {
        total_bytes: usize::MAX,
        connection_bytes: usize::MAX,
    };
    let peers = PeerClient::new(Arc::new(BufferBudget::new(limits)));
    let logger = Logger::root(Discard, o!());
    NeighbourLog::new(Arc::new(SilentLog), peers, Arc::default(), seeds, BOUND, logger)
}

fn refusal() -> LogReply {
    LogReply::Page(Err(TopicError::unavailable("the neighbour's link is full")))
}

// Guards against a node that goes without the log because the neighbour drawn by lot had no room.
#[tokio::test]
async fn another_neighbour_is_asked_after_a_refusal() {
    let calls = Arc::new(AtomicUsize::new(0));
    let page = LogReply::Page(Ok(TopicPage {
        next: 8,
        ..TopicPage::default()
    }));
    let refusing = start_neighbour(refusal(), Arc::clone(&calls)).await;
    let reading = start_neighbour(page, Arc::clone(&calls)).await;
    for _ in 0..RUNS {
        let log = neighbour_log(vec![refusing, reading]);
        let outcome = log.newest(LogTopic::Configuration).await;
        assert_eq!(outcome.map(|page| page.next), Ok(8));
    }
}

// Guards against a refusal that makes a node ask all others in turn.
#[tokio::test]
async fn no_third_neighbour_is_asked() {
    let calls = Arc::new(AtomicUsize::new(0));
    let mut seeds = Vec::new();
    for _ in 0..4 {
        seeds.push(start_neighbour(refusal(), Arc::clone(&calls)).await);
    }
    let outcome = neighbour_log(seeds).newest(LogTopic::Configuration).await;
    assert!(matches!(outcome, Err(TopicError::Unavailable { .. })), "{outcome:?}");
    assert_eq!(calls.load(Ordering::Relaxed), 2);
}
