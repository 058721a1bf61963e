//! The side of a connection that makes calls.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    config::FeedFrame,
    ids::DomainId,
    log::{BatchRecord, SnapshotRecord},
    membership::{DomainDigest, NodeHeartbeat},
    reports::{DemandReport, ReportCatalogue, ReportFrame},
};
use tarpc::{
    client::{Config, RpcError},
    context::{self, Context},
};
use tokio::{net::TcpStream, time::timeout};
use tokio_tungstenite::{
    client_async_with_config,
    tungstenite::{
        client::IntoClientRequest,
        handshake::client::{Request, Response},
        http::HeaderValue,
    },
};

use super::{
    CallError, PeerError,
    frames::{FrameTransport, socket_config},
    key::{PROOF_HEADER, PeerKey, ProofSide},
    meter::PeerMeter,
    server::{NONCE_HEADER, UPGRADE_TIMEOUT, upgrade_error},
    service::{PeerServiceClient, SubmissionOutcome},
};

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection to another node. Clones share it; when it breaks every call fails, and a new one has to be made.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: PeerServiceClient,
}

impl PeerClient {
    /// Connects to the peer listener of another node.
    ///
    /// # Errors
    /// [`PeerError`] when it cannot be reached or does not hold the key.
    pub async fn connect(address: SocketAddr, key: &PeerKey, meter: Arc<dyn PeerMeter>) -> Result<Self, PeerError> {
        let upgraded = timeout(UPGRADE_TIMEOUT, Self::upgrade(address, key, meter)).await;
        upgraded.unwrap_or(Err(PeerError::Unreachable))
    }

    /// Sends a heartbeat.
    ///
    /// # Errors
    /// [`CallError`] when no answer came.
    pub async fn heartbeat(&self, heartbeat: NodeHeartbeat) -> Result<(), CallError> {
        require_answer(self.client.heartbeat(call_context(), heartbeat).await)
    }

    /// Sends the membership digest of this node's failure domain.
    ///
    /// # Errors
    /// [`CallError`] when no answer came.
    pub async fn digest(&self, digest: DomainDigest) -> Result<(), CallError> {
        require_answer(self.client.digest(call_context(), digest).await)
    }

    /// Requests the configuration as the other node has it.
    ///
    /// # Errors
    /// [`CallError`] when no answer came.
    pub async fn config_state(&self) -> Result<Option<SnapshotRecord>, CallError> {
        require_answer(self.client.config_state(call_context()).await)
    }

    /// Sends the log entries that this node, a feeder of its failure domain, read.
    ///
    /// # Errors
    /// [`CallError`] when no answer came.
    pub async fn config_feed(&self, frame: FeedFrame) -> Result<(), CallError> {
        require_answer(self.client.config_feed(call_context(), frame).await)
    }

    /// Submits claims and outcomes of idempotency keys to the writer of the failure domain; without an answer it is
    /// unknown whether they were appended.
    pub async fn submit_keys(&self, batch: BatchRecord) -> SubmissionOutcome {
        let outcome = self.client.submit_keys(call_context(), batch).await;
        outcome.unwrap_or(SubmissionOutcome::Unknown)
    }

    /// Sends changes at the runners of a failure domain.
    ///
    /// # Errors
    /// [`CallError`] when no answer came.
    pub async fn report_frame(&self, frame: ReportFrame) -> Result<(), CallError> {
        require_answer(self.client.report_frame(call_context(), frame).await)
    }

    /// Requests the runners of a failure domain as the other node knows them.
    ///
    /// # Errors
    /// [`CallError`] when no answer came.
    pub async fn report_catalogue(&self, domain: DomainId) -> Result<Option<ReportCatalogue>, CallError> {
        require_answer(self.client.report_catalogue(call_context(), domain).await)
    }

    /// Sends this node's request counts to the leader of the failure domain.
    ///
    /// # Errors
    /// [`CallError`] when no answer came.
    pub async fn demand(&self, report: DemandReport) -> Result<(), CallError> {
        require_answer(self.client.demand(call_context(), report).await)
    }

    async fn upgrade(address: SocketAddr, key: &PeerKey, meter: Arc<dyn PeerMeter>) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(address).await.ok();
        let stream = stream.ok_or(PeerError::Unreachable)?;
        let request = upgrade_request(address, key)?;
        let nonce = request.headers().get(NONCE_HEADER).cloned();
        let upgrade = client_async_with_config(request, stream, Some(socket_config()));
        let (socket, response) = upgrade.await.map_err(upgrade_error)?;
        if !has_valid_proof(key, nonce.as_ref(), &response) {
            return Err(PeerError::WrongKey);
        }
        let client = PeerServiceClient::new(Config::default(), FrameTransport::new(socket, meter)).spawn();
        Ok(Self { client })
    }
}

fn upgrade_request(address: SocketAddr, key: &PeerKey) -> Result<Request, PeerError> {
    let request = format!("ws://{address}/peers").into_client_request();
    let mut request = request.map_err(upgrade_error)?;
    let nonce = request.headers().get(NONCE_HEADER);
    let proof = nonce.map(|nonce| key.prove(ProofSide::Client, nonce.as_bytes()));
    let value = proof.and_then(|proof| HeaderValue::from_str(&proof).ok());
    let value = value.ok_or(PeerError::WrongKey)?;
    request.headers_mut().insert(PROOF_HEADER, value);
    Ok(request)
}

fn has_valid_proof(key: &PeerKey, nonce: Option<&HeaderValue>, response: &Response) -> bool {
    let proof = response.headers().get(PROOF_HEADER);
    nonce
        .zip(proof)
        .is_some_and(|(nonce, proof)| key.verify(ProofSide::Server, nonce.as_bytes(), proof.as_bytes()))
}

fn call_context() -> Context {
    let deadline: Instant = clock::now() + CALL_TIMEOUT;
    let mut context = context::current();
    context.deadline = deadline;
    context
}

fn require_answer<T>(answer: Result<T, RpcError>) -> Result<T, CallError> {
    answer.ok().ok_or(CallError)
}
