//! HTTP client for backend servers and the platform, whose errors say whether a request may have run.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::{Body, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use hyper_util::{
    client::legacy::{Client, Error as ClientError, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use metrics::counter;
use mustardgate_core::{
    buffers::{BufferLimits, BufferSource},
    clock,
    relay::is_final_status,
    verdict::RunVerdict,
};
use snafu::Snafu;
use tokio::time;

use super::{
    steady::{BodyPace, SteadyBody},
    turns::TurnConnector,
};
use crate::{
    buffers::{BufferBudget, collect_while},
    telemetry::record_control_bytes,
};

/// Time after which an idle connection is closed, short enough that the server is unlikely to close it first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Largest accepted head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Client with pooled connections, or with a new connection for each call.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<TurnConnector, Full<Bytes>>,
    buffers: ClientBuffers,
}

/// The budget that answers draw on, and as whose bytes they count.
#[derive(Clone, Debug)]
struct ClientBuffers {
    budget: Arc<BufferBudget>,
    source_of: fn(SocketAddr) -> BufferSource,
}

impl Default for ClientBuffers {
    /// Returns a budget without a limit, for processes that have none in common.
    fn default() -> Self {
        let limits = BufferLimits {
            total_bytes: usize::MAX,
            connection_bytes: usize::MAX,
        };
        Self {
            budget: Arc::new(BufferBudget::new(limits)),
            source_of: BufferSource::Server,
        }
    }
}

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No connection could be established, so no byte was sent.
    #[snafu(display("no connection to {address}"))]
    NotConnected {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The request was sent, completely or in part, and no answer came.
    #[snafu(display("no answer from {address}"))]
    Unanswered {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The body of the answer broke off, was too long or did not arrive in time.
    #[snafu(display("broken answer from {address}"))]
    BrokenAnswer {
        /// Address of the server.
        address: SocketAddr,
    },
}

impl CallError {
    /// Returns whether the request may have run.
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::NotConnected { .. } => RunVerdict::NotRun,
            Self::Unanswered { .. } | Self::BrokenAnswer { .. } => RunVerdict::MayHaveRun,
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time at which the head had arrived: what the answer says may be that old.
    pub head_at: Instant,
}

/// An answer whose body has not been received yet.
pub type StreamReply = Response<Incoming>;

/// Limits of one call of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Timeout for the whole answer, unless its body has a pace.
    pub timeout: Duration,
    /// Maximum size of the answer's body, in bytes.
    pub max_bytes: usize,
    /// Time that the body may take beyond the timeout, for answers whose size grows while the link does not.
    pub pace: Option<BodyPace>,
}

impl HttpClient {
    /// Creates a client that keeps idle connections for further calls.
    pub fn pooled(connect_timeout: Duration) -> Self {
        Self::build(connect_timeout, usize::MAX, None)
    }

    /// Creates a client like [`HttpClient::pooled`] that connects from an address of this machine, if one is given.
    pub fn pooled_from(connect_timeout: Duration, source: Option<IpAddr>) -> Self {
        Self::build(connect_timeout, usize::MAX, source)
    }

    /// Creates a client that opens a connection for each call: the server may close a reused connection while a request
    /// is in transit, and then it is unknown whether the request ran.
    pub fn unpooled(connect_timeout: Duration) -> Self {
        Self::build(connect_timeout, 0, None)
    }

    /// Returns the client with answers that draw on a budget; `source_of` says whose bytes the answers of an address are.
    #[must_use]
    pub fn with_buffers(self, budget: Arc<BufferBudget>, source_of: fn(SocketAddr) -> BufferSource) -> Self {
        Self {
            buffers: ClientBuffers { budget, source_of },
            ..self
        }
    }

    fn build(connect_timeout: Duration, max_idle: usize, source: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        connector.set_local_address(source);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(max_idle)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .retry_canceled_requests(false)
            .build(TurnConnector(connector));
        Self {
            client,
            buffers: ClientBuffers::default(),
        }
    }

    /// Sends a request and returns as soon as the head of the answer has arrived.
    ///
    /// # Errors
    /// [`CallError`], whose verdict says whether the request may have run.
    pub async fn open(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<StreamReply, CallError> {
        let (mut head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        head.uri = format!("http://{address}{path}").parse::<Uri>().unwrap_or_default();
        let request = Request::from_parts(head, body);
        match time::timeout(timeout, self.client.request(request)).await {
            Ok(Ok(reply)) if is_final_status(reply.status().as_u16()) => Ok(reply),
            Ok(Err(error)) => Err(classify_error(&error, address)),
            Ok(Ok(_)) | Err(_) => Err(CallError::Unanswered { address }),
        }
    }

    /// Sends a request and receives the whole answer within the timeout.
    ///
    /// # Errors
    /// [`CallError`], whose verdict says whether the request may have run.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<HttpReply, CallError> {
        let limits = CallLimits {
            timeout,
            max_bytes,
            pace: None,
        };
        self.call_limited(address, request, limits, |_body| true).await
    }

    async fn call_limited(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
        is_wanted: impl Fn(&[u8]) -> bool,
    ) -> Result<HttpReply, CallError> {
        let ends_at = time::Instant::now() + limits.timeout;
        let reply = self.open(address, request, limits.timeout).await?;
        let head_at = clock::now();
        let (head, body) = reply.into_parts();
        let is_wanted = |content: &[u8]| !head.status.is_success() || is_wanted(content);
        let body = SteadyBody::new(body, ends_at, limits.pace);
        let body = self.collect(address, body, limits.max_bytes, is_wanted).await?;
        Ok(HttpReply {
            status: head.status,
            headers: head.headers,
            body,
            head_at,
        })
    }

    async fn collect(
        &self,
        address: SocketAddr,
        mut body: SteadyBody<Incoming>,
        max_bytes: usize,
        is_wanted: impl Fn(&[u8]) -> bool,
    ) -> Result<Bytes, CallError> {
        let guard = self.buffers.budget.guard((self.buffers.source_of)(address));
        let collected = collect_while(&mut body, max_bytes, guard, is_wanted).await;
        collected.map_err(|error| {
            counter!("mustardgate_control_answers_refused_total", "reason" => error.label()).increment(1);
            CallError::BrokenAnswer { address }
        })
    }

    /// Sends a request of control traffic like [`HttpClient::call`] and counts the bytes of both bodies by its kind.
    ///
    /// # Errors
    /// [`CallError`], as [`HttpClient::call`].
    pub async fn call_counted(
        &self,
        kind: &'static str,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
    ) -> Result<HttpReply, CallError> {
        self.call_while(kind, address, request, limits, |_body| true).await
    }

    /// Makes a call like [`HttpClient::call_counted`] and receives its body, if that has a pace, for as long as `is_wanted`
    /// returns `true` for what has arrived: the start of a body may tell that the rest is not worth its way over the link.
    ///
    /// # Errors
    /// [`CallError`], as [`HttpClient::call`].
    pub async fn call_while(
        &self,
        kind: &'static str,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: CallLimits,
        is_wanted: impl Fn(&[u8]) -> bool,
    ) -> Result<HttpReply, CallError> {
        let sent_bytes = request.body().size_hint().exact().unwrap_or_default();
        record_control_bytes(kind, "sent", sent_bytes);
        let reply = self.call_limited(address, request, limits, is_wanted).await?;
        record_control_bytes(kind, "received", reply.body.len() as u64);
        Ok(reply)
    }
}

fn classify_error(error: &ClientError, address: SocketAddr) -> CallError {
    if error.is_connect() {
        CallError::NotConnected { address }
    } else {
        CallError::Unanswered { address }
    }
}

/// Builds a request with a JSON body.
pub(crate) fn json_request<T: serde::Serialize>(method: Method, path: &str, value: &T) -> Request<Full<Bytes>> {
    let text = serde_json::to_vec(value).expect("map keys in messages are strings");
    let mut request = Request::new(Full::new(Bytes::from(text)));
    *request.method_mut() = method;
    *request.uri_mut() = path
        .parse()
        .expect("paths are built from constants of the protocol crate");
    request
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}

/// Builds a request without a body.
pub(crate) fn plain_request(method: Method, path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = method;
    *request.uri_mut() = path
        .parse()
        .expect("paths are built from constants of the protocol crate");
    request
}
