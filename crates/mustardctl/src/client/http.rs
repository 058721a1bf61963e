//! A pooled HTTP client.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::AUTHORIZATION, header::HeaderValue,
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

use crate::cli::CommandError;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for a whole answer, longer than any deadline of a call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(600);
/// Largest answer that is received as a whole.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Sends requests over pooled connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpReply {
    /// Parses the body as JSON.
    ///
    /// # Errors
    /// [`CommandError::Failed`] when the body does not have the expected shape.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        serde_json::from_slice(&self.body).map_err(|error| CommandError::Failed {
            reason: format!("unexpected body in an answer with status {}: {error}", self.status),
        })
    }
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and returns as soon as the head of the answer has come.
    ///
    /// # Errors
    /// [`CommandError::Unreachable`] when the server cannot be reached or sends no answer.
    pub async fn open(
        &self,
        server: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CommandError> {
        let uri = format!("http://{server}{}", request.uri());
        *request.uri_mut() = uri.parse().map_err(|error| CommandError::Usage {
            reason: format!("invalid URL {uri}: {error}"),
        })?;
        self.client
            .request(request)
            .await
            .map_err(|error| unreachable_error(server, &error))
    }

    /// Sends a request and receives the whole answer.
    ///
    /// # Errors
    /// [`CommandError::Unreachable`] when the whole answer was not received.
    pub async fn call(&self, server: SocketAddr, request: Request<Full<Bytes>>) -> Result<HttpReply, CommandError> {
        let receiving = async {
            let (parts, body) = self.open(server, request).await?.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| unreachable_error(server, error.as_ref()))?;
            Ok((parts, body))
        };
        let received = time::timeout(ANSWER_TIMEOUT, receiving).await;
        let (parts, body) = received.map_err(|elapsed| unreachable_error(server, &elapsed))??;
        Ok(HttpReply {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Builds a request with a value as its JSON body.
///
/// # Errors
/// [`CommandError::Usage`] when the path is not valid.
pub fn json_request<T: Serialize>(method: Method, path: &str, value: &T) -> Result<Request<Full<Bytes>>, CommandError> {
    let body = serde_json::to_vec(value).map_err(|error| CommandError::Failed {
        reason: error.to_string(),
    })?;
    Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| CommandError::Usage {
            reason: format!("invalid path {path}: {error}"),
        })
}

/// Adds the `Authorization` header with a bearer key, if there is a key.
///
/// # Errors
/// [`CommandError::Usage`] when the key contains characters that are not allowed in a header.
pub fn insert_bearer_key(headers: &mut HeaderMap, key: Option<&str>) -> Result<(), CommandError> {
    if let Some(key) = key {
        let value = HeaderValue::from_str(&format!("Bearer {key}")).map_err(|_error| CommandError::Usage {
            reason: "the bearer key contains characters that are not allowed in a header".to_owned(),
        })?;
        headers.insert(AUTHORIZATION, value);
    }
    Ok(())
}

fn unreachable_error(server: SocketAddr, error: &dyn std::error::Error) -> CommandError {
    let cause = error.source().map(|cause| format!(" ({cause})")).unwrap_or_default();
    CommandError::Unreachable {
        server: server.to_string(),
        reason: format!("{error}{cause}"),
    }
}
