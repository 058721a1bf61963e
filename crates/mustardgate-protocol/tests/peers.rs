//! Tests of the calls between nodes over loopback TCP: keys, broken frames, and connections that end during a call.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use async_trait::async_trait;
use futures::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use mustardgate_core::{
    config::{ConfigSpan, FeedFrame, StateDigest},
    ids::{DomainId, Offset},
    log::{Artifact, BatchRecord, KeyClaim, LogRecord, SnapshotRecord},
    membership::{DomainDigest, LeavingMark, NodeHeartbeat},
    ports::LogEntry,
    reports::{DemandReport, ReadyChange, ReportCatalogue, ReportFrame, RunnerState},
};
use mustardgate_protocol::peers::{
    MAX_FRAME_BYTES, MessageKind, NoopMeter, PeerClient, PeerError, PeerHandler, PeerKey, PeerMeter, SubmissionOutcome,
    serve_connection,
};
use sha2::Sha256;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};
use tokio_tungstenite::{
    WebSocketStream, accept_async, client_async,
    tungstenite::{Message, client::IntoClientRequest, http::HeaderValue},
};

const SECRET: &[u8] = b"the key of one deployment";

#[derive(Debug, Default)]
struct RecordingHandler {
    heartbeats: Mutex<Vec<NodeHeartbeat>>,
    digests: Mutex<Vec<DomainDigest>>,
    frames: Mutex<Vec<FeedFrame>>,
    reports: Mutex<Vec<ReportFrame>>,
    demands: Mutex<Vec<DemandReport>>,
    submissions: Notify,
}

#[async_trait]
impl PeerHandler for RecordingHandler {
    async fn heartbeat(&self, heartbeat: NodeHeartbeat) {
        self.heartbeats.lock().unwrap().push(heartbeat);
    }

    async fn digest(&self, digest: DomainDigest) {
        self.digests.lock().unwrap().push(digest);
    }

    async fn config_state(&self) -> Option<SnapshotRecord> {
        Some(snapshot())
    }

    async fn config_feed(&self, frame: FeedFrame) {
        self.frames.lock().unwrap().push(frame);
    }

    async fn submit_keys(&self, batch: BatchRecord) -> SubmissionOutcome {
        if batch.claims.is_empty() {
            self.submissions.notify_one();
            std::future::pending::<()>().await;
        }
        SubmissionOutcome::Appended { offset: 41 }
    }

    async fn report_frame(&self, frame: ReportFrame) {
        self.reports.lock().unwrap().push(frame);
    }

    async fn report_catalogue(&self, domain: DomainId) -> Option<ReportCatalogue> {
        (domain == "d1").then(catalogue)
    }

    async fn demand(&self, report: DemandReport) {
        self.demands.lock().unwrap().push(report);
    }
}

#[derive(Debug, Default)]
struct CountingMeter {
    sent: Mutex<BTreeMap<MessageKind, usize>>,
    received: Mutex<BTreeMap<MessageKind, usize>>,
}

impl PeerMeter for CountingMeter {
    fn sent(&self, kind: MessageKind, bytes: usize) {
        *self.sent.lock().unwrap().entry(kind).or_default() += bytes;
    }

    fn received(&self, kind: MessageKind, bytes: usize) {
        *self.received.lock().unwrap().entry(kind).or_default() += bytes;
    }
}

fn key(secret: &[u8]) -> PeerKey {
    PeerKey::new(secret).unwrap()
}

fn snapshot() -> SnapshotRecord {
    SnapshotRecord {
        as_of: 7,
        author: "n2".into(),
        resources: vec![],
        recent_changes: vec![],
    }
}

fn frame(from: Offset) -> FeedFrame {
    let entry = LogEntry {
        offset: from,
        record: LogRecord::Batch(batch()),
    };
    let span = ConfigSpan {
        from,
        until: from + 1,
        entries: vec![entry],
    };
    FeedFrame {
        span,
        digest: StateDigest::of_snapshot(&snapshot()),
    }
}

fn batch() -> BatchRecord {
    let claim = KeyClaim {
        tenant: "kitchen".into(),
        key: "order-1".into(),
        digest: u64::MAX,
        node: "n1".into(),
        request: "r1".into(),
    };
    BatchRecord {
        domain: "d1".into(),
        claims: vec![claim],
        ..BatchRecord::default()
    }
}

fn artifact() -> Artifact {
    Artifact {
        model: "menu".into(),
        adapter: None,
        version: "v1".into(),
    }
}

fn catalogue() -> ReportCatalogue {
    let state = RunnerState {
        ready: [artifact()].into(),
        outstanding: 3,
    };
    ReportCatalogue {
        domain: "d1".into(),
        leader: "n1".into(),
        session: u64::MAX,
        version: 2,
        runners: vec![("b1".into(), state)],
    }
}

fn report() -> ReportFrame {
    let change = ReadyChange {
        index: 0,
        backend: Some("b1".into()),
        added: vec![artifact()],
        removed: Vec::new(),
    };
    ReportFrame {
        domain: "d1".into(),
        leader: "n1".into(),
        session: u64::MAX,
        sender: "n2".into(),
        base: 1,
        version: 2,
        changes: vec![change],
        loads: vec![(0, 3)],
    }
}

fn demand() -> DemandReport {
    DemandReport {
        node: "n1".into(),
        counts: vec![(artifact(), 5)],
    }
}

fn heartbeat() -> NodeHeartbeat {
    let mark = LeavingMark {
        backend: "b1".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        age_ms: 20,
    };
    NodeHeartbeat {
        node: "n1".into(),
        sequence: 3,
        leaving: vec![mark],
    }
}

async fn start_server(handler: Arc<RecordingHandler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler: Arc<dyn PeerHandler> = Arc::<RecordingHandler>::clone(&handler);
            tokio::spawn(async move { serve_connection(stream, &key(SECRET), handler, Arc::new(NoopMeter)).await });
        }
    });
    address
}

async fn connect(address: SocketAddr, secret: &[u8]) -> Result<PeerClient, PeerError> {
    PeerClient::connect(address, &key(secret), Arc::new(NoopMeter)).await
}

/// Opens an authenticated connection on which tests can send frames that the client never sends.
async fn connect_raw(address: SocketAddr) -> WebSocketStream<TcpStream> {
    let mut request = format!("ws://{address}/peers").into_client_request().unwrap();
    let mut mac = Hmac::<Sha256>::new_from_slice(SECRET).unwrap();
    mac.update(b"client ");
    mac.update(request.headers()["sec-websocket-key"].as_bytes());
    let bytes = mac.finalize().into_bytes();
    let proof = format!("{bytes:x}");
    let value = HeaderValue::from_str(&proof).unwrap();
    request.headers_mut().insert("x-peer-proof", value);
    let stream = TcpStream::connect(address).await.unwrap();
    client_async(request, stream).await.unwrap().0
}

#[tokio::test]
async fn calls_are_carried_both_ways_and_counted_by_kind() {
    let handler = Arc::new(RecordingHandler::default());
    let address = start_server(Arc::clone(&handler)).await;
    let meter = Arc::new(CountingMeter::default());
    let counted: Arc<dyn PeerMeter> = Arc::<CountingMeter>::clone(&meter);
    let client = PeerClient::connect(address, &key(SECRET), counted).await.unwrap();
    client.heartbeat(heartbeat()).await.unwrap();
    let digest = DomainDigest {
        domain: "d1".into(),
        speaker: "n1".into(),
        unsuspected: vec!["n1".into()],
        leaving: heartbeat().leaving,
    };
    client.digest(digest.clone()).await.unwrap();
    assert_eq!(client.config_state().await, Ok(Some(snapshot())));
    assert_eq!(client.config_feed(frame(4)).await, Ok(()));
    assert_eq!(client.config_feed(frame(9)).await, Ok(()));
    assert_eq!(
        client.submit_keys(batch()).await,
        SubmissionOutcome::Appended { offset: 41 }
    );
    client.report_frame(report()).await.unwrap();
    assert_eq!(client.report_catalogue("d1".into()).await, Ok(Some(catalogue())));
    assert_eq!(client.report_catalogue("d2".into()).await, Ok(None));
    client.demand(demand()).await.unwrap();
    assert_eq!(*handler.reports.lock().unwrap(), vec![report()]);
    assert_eq!(*handler.demands.lock().unwrap(), vec![demand()]);
    assert_eq!(*handler.heartbeats.lock().unwrap(), vec![heartbeat()]);
    assert_eq!(*handler.digests.lock().unwrap(), vec![digest]);
    assert_eq!(*handler.frames.lock().unwrap(), vec![frame(4), frame(9)]);
    let kinds = [
        MessageKind::Heartbeat,
        MessageKind::Digest,
        MessageKind::ConfigState,
        MessageKind::ConfigFeed,
        MessageKind::SubmitKeys,
        MessageKind::ReportFrame,
        MessageKind::ReportCatalogue,
        MessageKind::Demand,
    ];
    for counts in [&meter.sent, &meter.received] {
        let counts = counts.lock().unwrap();
        assert_eq!(counts.keys().copied().collect::<Vec<_>>(), kinds);
        assert!(counts.values().all(|bytes| *bytes > 0));
    }
}

#[tokio::test]
async fn nodes_without_the_same_key_do_not_connect_in_either_direction() {
    let address = start_server(Arc::default()).await;
    let refused = connect(address, b"the key of another deployment").await;
    assert!(matches!(refused, Err(PeerError::WrongKey)), "{refused:?}");

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let impostor = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        accept_async(stream).await.unwrap().next().await;
    });
    let distrusted = connect(impostor, SECRET).await;
    assert!(matches!(distrusted, Err(PeerError::WrongKey)), "{distrusted:?}");
    PeerKey::new(b"short").unwrap_err();
}

#[tokio::test]
async fn broken_and_oversize_frames_end_their_connection_only() {
    let address = start_server(Arc::default()).await;
    let other = connect(address, SECRET).await.unwrap();
    let frames = [
        Message::binary(b"\xff\x00 no message".to_vec()),
        Message::binary(vec![0; MAX_FRAME_BYTES + 1]),
        Message::text("no message either"),
    ];
    for frame in frames {
        let mut socket = connect_raw(address).await;
        // An oversize frame may be refused while it is still being written.
        let _ = socket.send(frame).await;
        while let Some(Ok(answer)) = socket.next().await {
            assert!(answer.is_close(), "{answer:?}");
        }
        other.heartbeat(heartbeat()).await.unwrap();
    }
}

#[tokio::test]
async fn submission_whose_connection_ends_has_an_unknown_outcome() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(RecordingHandler::default());
    let shared_handler: Arc<dyn PeerHandler> = Arc::<RecordingHandler>::clone(&handler);
    let server = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve_connection(stream, &key(SECRET), shared_handler, Arc::new(NoopMeter)).await
    });
    let client = connect(address, SECRET).await.unwrap();
    let caller = client.clone();
    let call = tokio::spawn(async move { caller.submit_keys(BatchRecord::default()).await });
    handler.submissions.notified().await;
    server.abort();
    assert_eq!(call.await.unwrap(), SubmissionOutcome::Unknown);
    client.heartbeat(heartbeat()).await.unwrap_err();
    assert!(matches!(connect(address, SECRET).await, Err(PeerError::Unreachable)));
}
