//! A pooled HTTP client.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::AUTHORIZATION, header::HeaderValue,
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector as TcpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::cli::CommandError;

/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends requests over pooled connections.
#[derive(Clone, Debug)]
pub struct HttpConnector {
    client: Client<TcpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl ClientAnswer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// [`CommandError::Failed`] when it is something else.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        serde_json::from_slice(&self.body).map_err(|error| CommandError::Failed {
            reason: format!("the answer (status {}) is not what was expected: {error}", self.status),
        })
    }
}

impl HttpConnector {
    /// Creates a client that has no connection yet.
    pub fn new() -> Self {
        let mut connector = TcpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and returns the answer with its body still to be read.
    ///
    /// # Errors
    /// [`CommandError::Unreachable`] when no answer began.
    pub async fn open(
        &self,
        server: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CommandError> {
        let uri = format!("http://{server}{}", request.uri());
        *request.uri_mut() = uri.parse().map_err(|error| CommandError::Usage {
            reason: format!("{uri}: {error}"),
        })?;
        self.client
            .request(request)
            .await
            .map_err(|error| unreachable(server, &error))
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// [`CommandError::Unreachable`] when no whole answer came.
    pub async fn call(&self, server: SocketAddr, request: Request<Full<Bytes>>) -> Result<ClientAnswer, CommandError> {
        let (parts, body) = self.open(server, request).await?.into_parts();
        let body = body.collect().await.map_err(|error| unreachable(server, &error))?;
        Ok(ClientAnswer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

impl Default for HttpConnector {
    fn default() -> Self {
        Self::new()
    }
}

/// Builds a request with a value as its JSON body.
///
/// # Errors
/// [`CommandError::Usage`] when the path is not valid.
pub fn json_body<T: Serialize>(method: Method, path: &str, value: &T) -> Result<Request<Full<Bytes>>, CommandError> {
    let text = serde_json::to_vec(value).map_err(|error| CommandError::Failed {
        reason: error.to_string(),
    })?;
    Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(text)))
        .map_err(|error| CommandError::Usage {
            reason: format!("{path}: {error}"),
        })
}

/// Shows a bearer key, if there is one.
///
/// # Errors
/// [`CommandError::Usage`] when the key has characters that a header cannot carry.
pub fn bearer_header(headers: &mut HeaderMap, key: Option<&str>) -> Result<(), CommandError> {
    if let Some(key) = key {
        let value = HeaderValue::from_str(&format!("Bearer {key}")).map_err(|_error| CommandError::Usage {
            reason: "the bearer key has characters that a header cannot carry".to_owned(),
        })?;
        headers.insert(AUTHORIZATION, value);
    }
    Ok(())
}

fn unreachable(server: SocketAddr, error: &dyn std::error::Error) -> CommandError {
    let cause = error.source().map(|cause| format!(" ({cause})")).unwrap_or_default();
    CommandError::Unreachable {
        server: server.to_string(),
        reason: format!("{error}{cause}"),
    }
}
