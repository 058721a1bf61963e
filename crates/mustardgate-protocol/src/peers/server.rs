//! The side of a connection that answers calls.

use std::{fmt::Debug, sync::Arc, time::Duration};

use async_trait::async_trait;
use futures::StreamExt;
use mustardgate_core::{
    config::FeedFrame,
    ids::DomainId,
    log::{BatchRecord, SnapshotRecord},
    membership::{DomainDigest, NodeHeartbeat},
    reports::{DemandReport, ReportCatalogue, ReportFrame},
};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{net::TcpStream, time::timeout};
use tokio_tungstenite::{
    accept_hdr_async_with_config,
    tungstenite::{
        Error as SocketError,
        handshake::server::{ErrorResponse, Request, Response},
        http::{HeaderValue, StatusCode},
    },
};

use super::{
    PeerError,
    frames::{FrameTransport, socket_config},
    key::{PROOF_HEADER, PeerKey, ProofSide},
    meter::PeerMeter,
    service::{PeerService, SubmissionOutcome},
};

/// Time limit for the HTTP upgrade of a connection.
pub(super) const UPGRADE_TIMEOUT: Duration = Duration::from_secs(3);
/// Header with the nonce of a connection, which the WebSocket handshake chooses at random.
pub(super) const NONCE_HEADER: &str = "sec-websocket-key";
/// Calls of one connection that are handled concurrently.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Handles the calls of peers.
#[async_trait]
pub trait PeerHandler: Debug + Send + Sync {
    /// Handles a heartbeat of another node of the failure domain.
    async fn heartbeat(&self, heartbeat: NodeHeartbeat);

    /// Handles the membership digest of another failure domain.
    async fn digest(&self, digest: DomainDigest);

    /// Returns the configuration as this node has it, or `None` when it has none.
    async fn config_state(&self) -> Option<SnapshotRecord>;

    /// Handles the log entries that a feeder of the failure domain read.
    async fn config_feed(&self, frame: FeedFrame);

    /// Appends claims and outcomes of idempotency keys together with those of the whole failure domain.
    async fn submit_keys(&self, batch: BatchRecord) -> SubmissionOutcome;

    /// Handles changes at the runners of a failure domain.
    async fn report_frame(&self, frame: ReportFrame);

    /// Returns the runners of a failure domain as this node knows them, or `None` when it knows none.
    async fn report_catalogue(&self, domain: DomainId) -> Option<ReportCatalogue>;

    /// Handles the request counts of another node of the failure domain.
    async fn demand(&self, report: DemandReport);
}

/// Answers the calls of one accepted connection until it ends.
///
/// # Errors
/// [`PeerError`] when the upgrade fails, in particular when the other side does not hold the key.
pub async fn serve_connection(
    stream: TcpStream,
    key: &PeerKey,
    handler: Arc<dyn PeerHandler>,
    meter: Arc<dyn PeerMeter>,
) -> Result<(), PeerError> {
    // The handshake's callback has to return its large error by value.
    #[expect(clippy::result_large_err, reason = "the type is the library's")]
    let check = |request: &Request, response: Response| check_upgrade(key, request, response);
    let upgrade = accept_hdr_async_with_config(stream, check, Some(socket_config()));
    let Ok(upgraded) = timeout(UPGRADE_TIMEOUT, upgrade).await else {
        return Err(PeerError::Unreachable);
    };
    let socket = upgraded.map_err(upgrade_error)?;
    let channel = BaseChannel::with_defaults(FrameTransport::new(socket, meter));
    let calls = channel.execute(PeerServer { handler }.serve());
    calls.for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call).await;
    Ok(())
}

/// Returns why an upgrade failed.
pub(super) fn upgrade_error(error: SocketError) -> PeerError {
    match error {
        SocketError::Http(response) if response.status() == StatusCode::UNAUTHORIZED => PeerError::WrongKey,
        other => PeerError::Upgrade {
            reason: other.to_string(),
        },
    }
}

#[expect(clippy::result_large_err, reason = "the type is the library's")]
fn check_upgrade(key: &PeerKey, request: &Request, mut response: Response) -> Result<Response, ErrorResponse> {
    let nonce = request.headers().get(NONCE_HEADER);
    let proof = request.headers().get(PROOF_HEADER);
    let (Some(nonce), Some(proof)) = (nonce, proof) else {
        return Err(refused_upgrade());
    };
    if !key.verify(ProofSide::Client, nonce.as_bytes(), proof.as_bytes()) {
        return Err(refused_upgrade());
    }
    let answer = key.prove(ProofSide::Server, nonce.as_bytes());
    let value = HeaderValue::from_str(&answer).ok();
    let value = value.ok_or_else(refused_upgrade)?;
    response.headers_mut().insert(PROOF_HEADER, value);
    Ok(response)
}

fn refused_upgrade() -> ErrorResponse {
    let mut refusal = ErrorResponse::new(None);
    *refusal.status_mut() = StatusCode::UNAUTHORIZED;
    refusal
}

#[derive(Clone, Debug)]
struct PeerServer {
    handler: Arc<dyn PeerHandler>,
}

impl PeerService for PeerServer {
    async fn heartbeat(self, _context: Context, heartbeat: NodeHeartbeat) {
        self.handler.heartbeat(heartbeat).await;
    }

    async fn digest(self, _context: Context, digest: DomainDigest) {
        self.handler.digest(digest).await;
    }

    async fn config_state(self, _context: Context) -> Option<SnapshotRecord> {
        self.handler.config_state().await
    }

    async fn config_feed(self, _context: Context, frame: FeedFrame) {
        self.handler.config_feed(frame).await;
    }

    async fn submit_keys(self, _context: Context, batch: BatchRecord) -> SubmissionOutcome {
        self.handler.submit_keys(batch).await
    }

    async fn report_frame(self, _context: Context, frame: ReportFrame) {
        self.handler.report_frame(frame).await;
    }

    async fn report_catalogue(self, _context: Context, domain: DomainId) -> Option<ReportCatalogue> {
        self.handler.report_catalogue(domain).await
    }

    async fn demand(self, _context: Context, report: DemandReport) {
        self.handler.demand(report).await;
    }
}
