//! HTTP client for tests and the harness, which opens one connection for each request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;

/// Longest time for a call, up to the end of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call returned no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be made.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address that was tried.
        address: SocketAddr,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The connection ended before the whole answer.
    #[snafu(display("the connection ended before the whole answer: {source}"))]
    Closed {
        /// Why it ended.
        source: hyper::Error,
    },
    /// The answer was not whole within the time limit.
    #[snafu(display("no whole answer within the time limit"))]
    TimedOut {
        /// The runtime's error.
        source: tokio::time::error::Elapsed,
    },
}

/// An answer, read to its end.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl CallAnswer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// The error of the parser.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// Builds a request with a value as its JSON body.
pub fn json_request<T: Serialize>(method: Method, path: &str, value: &T) -> Request<Full<Bytes>> {
    let text = serde_json::to_vec(value).expect("messages are plain data");
    let mut request = Request::new(Full::new(Bytes::from(text)));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("paths of the stand-ins are valid");
    request
}

/// Builds a request without a body.
pub fn plain_request(method: Method, path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().expect("paths of the stand-ins are valid");
    request
}

/// Sends a request and returns the answer, whose body has not been read yet.
///
/// # Errors
/// [`CallError`] when no head of an answer arrived.
pub async fn open(address: SocketAddr, mut request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(ClosedSnafu)?;
    tokio::spawn(connection);
    if !request.headers().contains_key(HOST) {
        let host = address.to_string().parse().expect("an address is a valid header value");
        request.headers_mut().insert(HOST, host);
    }
    sender.send_request(request).await.context(ClosedSnafu)
}

/// Sends a request and reads the whole answer.
///
/// # Errors
/// [`CallError`] when no whole answer arrived.
pub async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> Result<CallAnswer, CallError> {
    let exchange = async {
        let (parts, body) = open(address, request).await?.into_parts();
        let body = body.collect().await.context(ClosedSnafu)?.to_bytes();
        Ok(CallAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .context(TimedOutSnafu)?
}
