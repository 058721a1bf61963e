//! Ports to a platform: decoding of its records, header fields of its requests and answers, and control of its runners.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
    net::SocketAddr,
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, http::request, http::response};
use mustardgate_core::{
    ids::{BackendId, ModelId, RequestId, TenantId},
    relay::{
        BrittleStatement, CredentialFault, KeyDigest, LimitStatement, ListedRunner, ModelName, OrderKind, RelayConfig,
        RelayRequest, ReportedLoad,
    },
};
use smol_str::SmolStr;
use snafu::Snafu;

pub use mustardgate_core::relay::AnswerKind;

/// Why a record or a message head could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct DecodeError {
    /// The invalid field.
    pub field: SmolStr,
    /// What is wrong with it.
    pub reason: String,
}

/// Longest reason that is kept, in characters; what could not be decoded may be repeated in it at its full length.
const MAX_REASON_CHARS: usize = 200;

impl DecodeError {
    /// Creates an error about one field.
    pub fn new(field: &str, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into().chars().take(MAX_REASON_CHARS).collect(),
        }
    }
}

/// Decodes the records of the platform's log.
pub trait RecordDecoder: Debug + Send + Sync {
    /// Returns the key of the record that holds the configuration.
    fn configuration_key(&self) -> &str;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// [`DecodeError`] when any part of the record cannot be used.
    fn decode_configuration(&self, value: &[u8]) -> Result<RelayConfig, DecodeError>;

    /// Decodes the entry of a runner.
    ///
    /// # Errors
    /// [`DecodeError`] when the entry does not describe a usable runner.
    fn decode_runner(&self, key: &str, value: &[u8]) -> Result<ListedRunner, DecodeError>;
}

/// Metadata that the system adds to the request of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptMetadata {
    /// Runner that the request is meant for.
    pub backend: BackendId,
    /// Time left for the runner.
    pub time_left: Duration,
    /// Priority in the runner's own queue, 0 being the most urgent.
    pub rank: u8,
    /// Identifier of the last event that the caller has, when a stream is resumed.
    pub resume_after: Option<SmolStr>,
    /// Tenant for which the request is sent, where tenants are declared.
    pub tenant: Option<TenantId>,
}

/// Whether an answer names the request that it belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestName {
    /// It names a request.
    Present,
    /// It names none.
    #[default]
    Absent,
}

/// Metadata in the head of a runner's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Whether the answer belongs to the request, and whether the request ran.
    pub kind: AnswerKind,
    /// Whether the answer names a request; a refusal need not.
    pub name: RequestName,
    /// Whether the answer carries the seal that proves it is the runner's own.
    pub is_sealed: bool,
    /// Runner that answered, if stated.
    pub backend: Option<BackendId>,
    /// Load of the runner, if stated.
    pub load: Option<ReportedLoad>,
    /// Whether the body has a content encoding, which no caller requests.
    pub is_encoded: bool,
    /// How long the runner wants no further request of this node, if it turned this one away and said so.
    pub retry_after: Option<Duration>,
    /// Whether the runner that answered states that it stops.
    pub is_leaving: bool,
    /// Rate of requests that the runner that answered takes from all nodes together.
    pub limit: LimitStatement,
    /// Whether the runners of its service fall over when they turn too many requests away.
    pub brittle: BrittleStatement,
}

impl AnswerMetadata {
    /// Takes an answer that names no request for one of another request, unless it is the first of its connection:
    /// later on it may be an earlier refusal that the runner wrote once more, and what it says may be outdated.
    #[must_use]
    pub fn bound_by(self, is_first_answer: bool) -> Self {
        if self.name == RequestName::Present || is_first_answer {
            return self;
        }
        Self::default()
    }

    /// Returns whether the answer is of this runner. Another one may answer at its address; it does not run the request
    /// and need not name itself.
    pub fn is_from(&self, runner: &BackendId) -> bool {
        match &self.backend {
            Some(backend) => backend == runner,
            None => self.kind != AnswerKind::Misdirected,
        }
    }
}

/// Reads and writes the header fields that the platform defines for requests and answers.
pub trait CallDialect: Debug + Send + Sync {
    /// Returns the path at which the platform asks whether the node is ready.
    fn readiness_path(&self) -> &str;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// [`DecodeError`] when the head lacks what every request must carry.
    fn read_request(&self, head: &request::Parts, received_at: std::time::Instant)
    -> Result<RelayRequest, DecodeError>;

    /// Returns whether a request carries credentials.
    fn has_credentials(&self, headers: &HeaderMap) -> bool;

    /// Removes the credentials of a request, and the field that names a tenant to runners, and returns the digest of the
    /// key. Called only where tenants are declared.
    ///
    /// # Errors
    /// [`CredentialFault`] when the credentials are not one key.
    fn take_credentials(&self, headers: &mut HeaderMap) -> Result<KeyDigest, CredentialFault>;

    /// Names the tenant to the runner.
    fn write_tenant(&self, headers: &mut HeaderMap, tenant: &TenantId);

    /// Adds the scheme of valid credentials to an answer that demands them.
    fn write_challenge(&self, headers: &mut HeaderMap);

    /// Removes the fields that callers may not set, and sets those of an attempt.
    fn write_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata);

    /// Writes the time left for the runner into a request that has the other fields of its attempt.
    fn write_time_left(&self, headers: &mut HeaderMap, time_left: Duration);

    /// Reads the head of a runner's answer.
    fn read_answer(&self, head: &response::Parts, request: &RequestId) -> AnswerMetadata;

    /// Adds the request's identifier to an answer that the node generates itself.
    fn write_local_answer(&self, headers: &mut HeaderMap, request: &RequestId);
}

/// State of a runner as reported by the runner itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerReport {
    /// Models it holds, with their adapters.
    pub models: BTreeMap<ModelId, BTreeSet<SmolStr>>,
    /// Adapters that are being loaded.
    pub pending_adapters: BTreeSet<ModelName>,
    /// Models whose weights it has in its host's memory or on its disk.
    pub cached_models: BTreeSet<ModelId>,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// Orders it has accepted.
    pub order_count: u64,
    /// Start time of the process in Unix milliseconds, if stated.
    pub started_at_ms: Option<u64>,
}

impl RunnerReport {
    /// Returns the adapters that occupy a slot, by model, including those that are being loaded.
    pub fn held_adapters(&self) -> BTreeMap<ModelId, BTreeSet<SmolStr>> {
        let mut held = self.models.clone();
        for name in &self.pending_adapters {
            if let Some(adapter) = &name.adapter {
                held.entry(name.model.clone()).or_default().insert(adapter.clone());
            }
        }
        held
    }
}

/// An order to one runner process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerOrder {
    /// Runner that receives the order.
    pub backend: BackendId,
    /// Address of the runner.
    pub address: SocketAddr,
    /// What to do.
    pub kind: OrderKind,
    /// Model, or one of its adapters.
    pub name: ModelName,
    /// Node that sends the order: the holder of the lease.
    pub holder: SmolStr,
    /// Fencing token of the leader; a later leader has a higher one.
    pub fencing_token: u64,
    /// Number of orders that the runner must have accepted so far; otherwise it refuses this one.
    pub expected_count: u64,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The runner is carrying it out.
    Accepted,
    /// The ordered state already holds.
    AlreadyHolds,
    /// The runner is carrying out another order, or its count of orders differs.
    Conflict,
    /// The runner has seen a higher fencing token.
    Fenced,
    /// The runner refused it.
    Refused,
    /// The result is unknown; the runner may carry it out now or later.
    Unknown,
    /// The order was not sent.
    NotSent,
}

/// Reads the state of runners and sends them orders.
#[async_trait]
pub trait RunnerControl: Debug + Send + Sync {
    /// Reads a runner's state, or returns `None` when it does not answer.
    async fn report(&self, backend: &BackendId, address: SocketAddr) -> Option<RunnerReport>;

    /// Returns a request by which a runner says which process it is, for a connection that is open.
    fn process_request(&self, backend: &BackendId) -> Request<Full<Bytes>>;

    /// Reads the start time of the process in Unix milliseconds from the answer to such a request, if it states one.
    fn read_process(&self, body: &[u8]) -> Option<u64>;

    /// Sends an order.
    async fn order(&self, order: &RunnerOrder) -> OrderReply;
}
