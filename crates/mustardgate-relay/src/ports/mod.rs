//! Ports to a platform: what its records mean, how its requests are marked, how its runners take orders.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
    net::SocketAddr,
    time::Duration,
};

use async_trait::async_trait;
use hyper::{HeaderMap, http::request, http::response};
use mustardgate_core::{
    ids::{BackendId, ModelId, RequestId},
    relay::{ListedRunner, ModelName, OrderKind, RelayConfig, RelayRequest, ReportedLoad},
};
use smol_str::SmolStr;
use snafu::Snafu;

/// Why a record or a head could not be understood.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {reason}"))]
pub struct DecodeError {
    /// Part that is at fault.
    pub field: SmolStr,
    /// What is wrong with it.
    pub reason: String,
}

impl DecodeError {
    /// Creates an error about one field.
    pub fn new(field: &str, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// Meaning of the records that a platform keeps.
pub trait RecordDecoder: Debug + Send + Sync {
    /// Returns the key of the record that holds the configuration.
    fn configuration_key(&self) -> &str;

    /// Decodes a configuration.
    ///
    /// # Errors
    /// [`DecodeError`] when the record cannot be used as a whole.
    fn decode_configuration(&self, value: &[u8]) -> Result<RelayConfig, DecodeError>;

    /// Decodes the entry of a runner.
    ///
    /// # Errors
    /// [`DecodeError`] when the entry names no runner that could be used.
    fn decode_runner(&self, key: &str, value: &[u8]) -> Result<ListedRunner, DecodeError>;
}

/// What the system adds to one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptMarks {
    /// Runner that the request is meant for.
    pub backend: BackendId,
    /// Time left for the runner.
    pub time_left: Duration,
    /// Rank in the runner's own queue, 0 being the most urgent.
    pub rank: u8,
    /// Last event that the caller has, when a stream is resumed.
    pub resume_after: Option<SmolStr>,
}

/// To which request an answer belongs, and what it says of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerKind {
    /// It answers this request.
    Outcome,
    /// The runner states that it did not run this request.
    NotRun,
    /// Another runner answers than the one meant, or the runner lacks the model; the request did not run.
    Misdirected,
    /// It names another request, or none.
    #[default]
    Foreign,
}

/// What the head of an answer says about the attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMarks {
    /// To which request the answer belongs.
    pub kind: AnswerKind,
    /// Whether the answer carries the proof that it is the runner's own.
    pub is_sealed: bool,
    /// Runner that answered, if it says so.
    pub backend: Option<BackendId>,
    /// Load that the runner states.
    pub load: Option<ReportedLoad>,
    /// Whether the body is encoded, which no caller asked for.
    pub is_encoded: bool,
}

/// How callers' requests and runners' answers are marked.
pub trait CallDialect: Debug + Send + Sync {
    /// Returns the path at which the platform asks whether the node is ready.
    fn readiness_path(&self) -> &str;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// [`DecodeError`] when the head lacks what every request must carry.
    fn read_request(&self, head: &request::Parts, received_at: std::time::Instant)
    -> Result<RelayRequest, DecodeError>;

    /// Removes what callers may not set, and sets what the system adds.
    fn mark_attempt(&self, headers: &mut HeaderMap, marks: &AttemptMarks);

    /// Reads the head of a runner's answer.
    fn read_answer(&self, head: &response::Parts, request: &RequestId) -> AnswerMarks;

    /// Adds the request's identifier to an answer of our own.
    fn mark_own_answer(&self, headers: &mut HeaderMap, request: &RequestId);
}

/// State of a runner as it reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerReport {
    /// Models it holds, with their adapters.
    pub models: BTreeMap<ModelId, BTreeSet<SmolStr>>,
    /// Adapters on their way.
    pub pending_adapters: BTreeSet<ModelName>,
    /// Models in its host's memory or on its disk.
    pub cached_models: BTreeSet<ModelId>,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// Orders it has accepted.
    pub order_count: u64,
    /// Start of the process in Unix milliseconds, if it says so.
    pub started_at_ms: Option<u64>,
}

impl RunnerReport {
    /// Returns the adapters that take a place by model, those on their way included.
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

/// An order to one start of one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerOrder {
    /// Runner that is meant.
    pub backend: BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// What to do.
    pub kind: OrderKind,
    /// With which weights.
    pub name: ModelName,
    /// Node that gives the order.
    pub holder: SmolStr,
    /// Number that orders leaders.
    pub fencing_token: u64,
    /// Orders that the runner must have accepted so far; otherwise it refuses this one.
    pub expected_count: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// It already holds.
    AlreadyHolds,
    /// Another order is under way, or the count differs.
    Conflict,
    /// A higher number was seen.
    Fenced,
    /// The runner refuses it.
    Refused,
    /// It may be carried out now or later.
    Unknown,
    /// Nothing was sent.
    NotSent,
}

/// Orders to runners.
#[async_trait]
pub trait RunnerControl: Debug + Send + Sync {
    /// Reads a runner's state, or returns `None` when it does not answer.
    async fn report(&self, backend: &BackendId, address: SocketAddr) -> Option<RunnerReport>;

    /// Gives an order.
    async fn order(&self, order: &RunnerOrder) -> OrderReply;
}
