//! Prints the payload bytes of the membership calls between nodes, and the traffic that results at the design size.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use async_trait::async_trait;
use mustardgate_core::{
    config::FeedFrame,
    ids::DomainId,
    log::{BatchRecord, SnapshotRecord},
    membership::{DomainDigest, LeavingMark, MembershipSettings, NodeHeartbeat},
    reports::{DemandReport, ReportCatalogue, ReportFrame},
};
use mustardgate_protocol::peers::{
    MessageKind, PeerClient, PeerHandler, PeerKey, PeerMeter, SubmissionOutcome, serve_connection,
};
use smol_str::format_smolstr;
use tokio::net::TcpListener;

const SECRET: &[u8] = b"a key for measurements";
const NODES_PER_DOMAIN: usize = 16;
const DOMAIN_COUNT: usize = 23;
const RELAYS_PER_DOMAIN: usize = 2;

/// Accepts every call and does nothing.
#[derive(Debug)]
struct EmptyHandler;

#[async_trait]
impl PeerHandler for EmptyHandler {
    async fn heartbeat(&self, _heartbeat: NodeHeartbeat) {}

    async fn digest(&self, _digest: DomainDigest) {}

    async fn config_state(&self) -> Option<SnapshotRecord> {
        None
    }

    async fn config_feed(&self, _frame: FeedFrame) {}

    async fn submit_keys(&self, _batch: BatchRecord) -> SubmissionOutcome {
        SubmissionOutcome::Unknown
    }

    async fn report_frame(&self, _frame: ReportFrame) {}

    async fn report_catalogue(&self, _domain: DomainId) -> Option<ReportCatalogue> {
        None
    }

    async fn demand(&self, _report: DemandReport) {}
}

/// Counts the bytes of calls and answers by kind.
#[derive(Debug, Default)]
struct ByteMeter {
    bytes: Mutex<BTreeMap<MessageKind, usize>>,
}

impl ByteMeter {
    fn count(&self, kind: MessageKind, bytes: usize) {
        let mut counts = self.bytes.lock().expect("no holder of the lock panics");
        *counts.entry(kind).or_default() += bytes;
    }

    fn bytes_of(&self, kind: MessageKind) -> usize {
        let counts = self.bytes.lock().expect("no holder of the lock panics");
        counts.get(&kind).copied().unwrap_or_default()
    }
}

impl PeerMeter for ByteMeter {
    fn sent(&self, kind: MessageKind, bytes: usize) {
        self.count(kind, bytes);
    }

    fn received(&self, kind: MessageKind, bytes: usize) {
        self.count(kind, bytes);
    }
}

fn leaving_marks(count: usize) -> Vec<LeavingMark> {
    let marks = (0..count).map(|index| LeavingMark {
        backend: format_smolstr!("runner-th-central-a-{index:03}"),
        address: SocketAddr::from(([10, 0, 0, 1], 8080)),
        age_ms: 123_456,
    });
    marks.collect()
}

async fn send_messages(client: &PeerClient, leaving: usize) -> Result<(), Box<dyn std::error::Error>> {
    let heartbeat = NodeHeartbeat {
        node: "entry-th-central-a-03".into(),
        sequence: 1_000_000,
        leaving: leaving_marks(leaving),
    };
    client.heartbeat(heartbeat).await?;
    let nodes = (0..NODES_PER_DOMAIN).map(|index| format_smolstr!("entry-th-central-a-{index:02}"));
    let digest = DomainDigest {
        domain: "th-central-a".into(),
        speaker: "entry-th-central-a-03".into(),
        unsuspected: nodes.collect(),
        leaving: leaving_marks(leaving),
    };
    client.digest(digest).await?;
    Ok(())
}

fn print_rates(meter: &ByteMeter, leaving: usize) {
    let settings = MembershipSettings::default();
    let heartbeat_bytes = meter.bytes_of(MessageKind::Heartbeat) as f64;
    let digest_bytes = meter.bytes_of(MessageKind::Digest) as f64;
    let from_relays = RELAYS_PER_DOMAIN * (NODES_PER_DOMAIN - 1);
    let to_relays = (NODES_PER_DOMAIN - RELAYS_PER_DOMAIN) * RELAYS_PER_DOMAIN;
    let heartbeats = (from_relays + to_relays) as f64;
    let heartbeat_rate = heartbeats * heartbeat_bytes / settings.heartbeat_interval.as_secs_f64();
    let digests = ((DOMAIN_COUNT - 1) * RELAYS_PER_DOMAIN) as f64;
    let digest_rate = digests * digest_bytes / settings.digest_interval.as_secs_f64();
    println!(
        "{leaving} leaving: heartbeat {heartbeat_bytes} B, digest {digest_bytes} B, each with its answer; a failure \
         domain sends {heartbeat_rate:.0} B/s of heartbeats between its own nodes and {digest_rate:.0} B/s of digests \
         to other domains, and receives as much; in total {:.0} B/s per node",
        2.0 * (heartbeat_rate + digest_rate) / NODES_PER_DOMAIN as f64
    );
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let key = PeerKey::new(SECRET)?;
    let server_key = key.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let meter = Arc::new(ByteMeter::default());
            let result = serve_connection(stream, &server_key, Arc::new(EmptyHandler), meter).await;
            if let Err(error) = result {
                eprintln!("peer_traffic: {error}");
            }
        }
    });
    for leaving in [0, 5] {
        let meter = Arc::new(ByteMeter::default());
        let client_meter: Arc<dyn PeerMeter> = Arc::<ByteMeter>::clone(&meter);
        let client = PeerClient::connect(address, &key, client_meter).await?;
        send_messages(&client, leaving).await?;
        print_rates(&meter, leaving);
    }
    Ok(())
}
