//! Calls to other nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use metrics::counter;
use mustardgate::{
    buffers::BufferBudget,
    http::{BodyPace, CallLimits, HttpClient},
};
use mustardgate_core::{
    buffers::BufferSource,
    ids::{BackendId, ServiceId},
    ports::{TopicError, TopicPage},
    relay::{ModelName, QuotaAnswer},
};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    messages::{
        ADAPTER_PATH, AdapterRequest, CachedRecords, DEMAND_PATH, DemandReport, EXCHANGE_PATH, KnowledgeExchange,
        LOG_PATH, LeaderAnswer, LogCall, LogReply, ORIGIN_PATH, OriginAnswer, OriginQuery, PERMIT_PATH, PermitAnswer,
        PermitRequest, QUOTA_PATH, QuotaCall, RECORDS_PATH, decode, encode,
    },
    traffic::{ControlLoad, MessageDirection, MessageKind},
};

/// Timeout for a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for an answer of another node.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time without a byte of records that take longer than [`CALL_TIMEOUT`].
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a permit or a part of a quota, for which a request waits.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time for which a message that is received has been under way.
pub const MAX_MESSAGE_TIME: Duration = CALL_TIMEOUT;
/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Calls to other nodes.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: HttpClient,
    /// Longest time for records of which bytes keep arriving.
    page_time: Duration,
    load: Option<Arc<ControlLoad>>,
}

impl PeerClient {
    /// Creates a client whose answers draw on a budget.
    pub fn new(buffers: Arc<BufferBudget>) -> Self {
        Self {
            client: HttpClient::pooled(CONNECT_TIMEOUT).with_buffers(buffers, BufferSource::Server),
            page_time: CALL_TIMEOUT,
            load: None,
        }
    }

    /// Sets the longest time for records of which bytes keep arriving, which grow with the configuration.
    #[must_use]
    pub fn with_page_time(mut self, page_time: Duration) -> Self {
        self.page_time = page_time.max(CALL_TIMEOUT);
        self
    }

    /// Sets where the bytes of calls and answers are counted.
    #[must_use]
    pub fn with_load(mut self, load: Arc<ControlLoad>) -> Self {
        self.load = Some(load);
        self
    }

    fn record_message(&self, kind: MessageKind, direction: MessageDirection, bytes: usize) {
        if let Some(load) = &self.load {
            load.record_message(kind, direction, bytes);
        }
    }

    /// Asks the leader to load an adapter; returns whether the adapter is loaded.
    pub async fn request_adapter(
        &self,
        leader: SocketAddr,
        service: &ServiceId,
        backend: &BackendId,
        name: &ModelName,
    ) -> bool {
        let message = AdapterRequest {
            service: service.clone(),
            backend: backend.clone(),
            name: name.to_text(),
        };
        let answer: Option<LeaderAnswer> = self.call(leader, "adapter", ADAPTER_PATH, &message).await;
        answer.is_some_and(|answer| answer.is_done)
    }

    /// Asks the leader for a permit; returns `None` if it does not answer in time.
    pub async fn request_permit(&self, leader: SocketAddr, request: &PermitRequest) -> Option<PermitAnswer> {
        self.call_within(leader, "permit", PERMIT_PATH, request, PERMIT_TIMEOUT)
            .await
    }

    /// Reports the use of quotas to the leader; returns `None` if it does not answer as leader in time.
    pub async fn report_quotas(&self, leader: SocketAddr, call: &QuotaCall) -> Option<QuotaAnswer> {
        let answer: Option<Option<QuotaAnswer>> = self
            .call_within(leader, "quotas", QUOTA_PATH, call, PERMIT_TIMEOUT)
            .await;
        answer.flatten()
    }

    /// Asks another node at which version a stream began; returns `None` if it does not answer in time.
    pub async fn ask_origin(
        &self,
        neighbour: SocketAddr,
        query: &OriginQuery,
        timeout: Duration,
    ) -> Option<OriginAnswer> {
        self.call_within(neighbour, "origin", ORIGIN_PATH, query, timeout).await
    }

    /// Tells a neighbour what this node knows, and returns what the neighbour knows.
    pub async fn exchange_knowledge(
        &self,
        neighbour: SocketAddr,
        knowledge: &KnowledgeExchange,
    ) -> Option<KnowledgeExchange> {
        self.call(neighbour, "exchange", EXCHANGE_PATH, knowledge).await
    }

    /// Reports the demand counted by this node to the leader.
    pub async fn report_demand(&self, leader: SocketAddr, report: &DemandReport) -> Option<LeaderAnswer> {
        self.call(leader, "demand", DEMAND_PATH, report).await
    }

    /// Asks a neighbour for the changes of a keyed topic that it has read, with the time since it read the log; returns
    /// `None` if it does not answer.
    pub async fn read_changes(
        &self,
        neighbour: SocketAddr,
        call: &LogCall,
        timeout: Duration,
    ) -> Option<Result<(TopicPage, Duration), TopicError>> {
        let limits = Self::limits(timeout);
        let reply = self.call_limited(neighbour, "changes", LOG_PATH, call, limits);
        match reply.await {
            Some(LogReply::Changes(changes)) => Some(changes),
            _ => None,
        }
    }

    /// Asks a neighbour to call the log for this node.
    pub async fn call_log(&self, neighbour: SocketAddr, call: &LogCall) -> Option<LogReply> {
        self.call_log_within(neighbour, call, CALL_TIMEOUT).await
    }

    /// Asks a neighbour like [`PeerClient::call_log`]; the answer has to begin within `timeout`.
    pub(super) async fn call_log_within(
        &self,
        neighbour: SocketAddr,
        call: &LogCall,
        timeout: Duration,
    ) -> Option<LogReply> {
        let limits = CallLimits {
            timeout,
            ..self.page_limits()
        };
        self.call_limited(neighbour, "log", LOG_PATH, call, limits).await
    }

    /// Asks a neighbour for the records that it has read.
    pub async fn records(&self, neighbour: SocketAddr) -> Option<CachedRecords> {
        self.call_limited(neighbour, "records", RECORDS_PATH, &(), self.page_limits())
            .await
    }

    fn limits(timeout: Duration) -> CallLimits {
        CallLimits {
            timeout,
            max_bytes: MAX_ANSWER_BYTES,
            pace: None,
        }
    }

    /// Returns the limits of calls for records: one that is given up while they arrive would have to begin anew.
    fn page_limits(&self) -> CallLimits {
        CallLimits {
            pace: Some(BodyPace {
                stall: STALL_TIMEOUT,
                total: self.page_time,
            }),
            ..Self::limits(CALL_TIMEOUT)
        }
    }

    async fn call<M, A>(&self, address: SocketAddr, kind: &'static str, path: &'static str, message: &M) -> Option<A>
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        self.call_within(address, kind, path, message, CALL_TIMEOUT).await
    }

    async fn call_within<M, A>(
        &self,
        address: SocketAddr,
        kind: &'static str,
        path: &'static str,
        message: &M,
        timeout: Duration,
    ) -> Option<A>
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        self.call_limited(address, kind, path, message, Self::limits(timeout))
            .await
    }

    async fn call_limited<M, A>(
        &self,
        address: SocketAddr,
        kind: &'static str,
        path: &'static str,
        message: &M,
        limits: CallLimits,
    ) -> Option<A>
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        let body = encode(message);
        self.record_message(kind, MessageDirection::Sent, body.len());
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = path.parse().expect("paths are constants");
        match self.client.call_counted(kind, address, request, limits).await {
            Ok(reply) if reply.status.is_success() => {
                self.record_message(kind, MessageDirection::Received, reply.body.len());
                decode(&reply.body)
            }
            Ok(_) | Err(_) => {
                counter!("mustardgate_peer_calls_failed_total", "kind" => kind).increment(1);
                None
            }
        }
    }
}
