//! Client of the operators' resource API.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderName, HeaderValue, IF_MATCH, IF_NONE_MATCH},
};
use mustardgate_core::{
    ids::{ChangeId, Offset},
    log::VersionedResource,
    resources::{ResourceKey, ResourceKind, ResourceSpec},
};
use mustardgate_protocol::operators::{
    API_PREFIX, CHANGE_HEADER, ChangeAnswer, ConflictAnswer, InvalidAnswer, NodeStatus, OUTCOME_UNKNOWN, PutRequest,
    ResourceList, ResourceView, STATUS_PATH, UnknownAnswer, untagged_spec,
};

use super::http::{HttpClient, HttpReply, insert_bearer_key, json_request};
use crate::cli::CommandError;

/// Outcome of sending a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The change was accepted.
    Accepted(ChangeAnswer),
    /// The change may have been accepted; sending it again with the same identifier is safe.
    Unknown,
}

/// Client for the resource API of one node.
#[derive(Clone, Debug)]
pub struct ApiClient {
    server: SocketAddr,
    key: Option<String>,
    client: HttpClient,
}

impl ApiClient {
    /// Creates a client; nothing is sent yet.
    pub fn new(server: SocketAddr, key: Option<String>) -> Self {
        let client = HttpClient::new();
        Self { server, key, client }
    }

    /// Lists the resources of a kind.
    ///
    /// # Errors
    /// [`CommandError`] when the node does not answer with a list.
    pub async fn list(&self, kind: ResourceKind) -> Result<ResourceList, CommandError> {
        let reply = self
            .send(self.plain_request(Method::GET, &format!("{API_PREFIX}{kind}"))?)
            .await?;
        expect_ok(&reply)?.json()
    }

    /// Lists the resources of every kind, in creation order.
    ///
    /// # Errors
    /// [`CommandError`] when the node does not answer with a list.
    pub async fn list_all(&self) -> Result<Vec<VersionedResource>, CommandError> {
        let mut resources = Vec::new();
        for kind in ResourceKind::ALL {
            let list = self.list(kind).await?;
            resources.extend(list.items.into_iter().map(|item| item.resource));
        }
        Ok(resources)
    }

    /// Reads a resource.
    ///
    /// # Errors
    /// [`CommandError::NotFound`] when it does not exist.
    pub async fn get(&self, key: &ResourceKey) -> Result<ResourceView, CommandError> {
        let reply = self.send(self.plain_request(Method::GET, &resource_path(key))?).await?;
        if reply.status == StatusCode::NOT_FOUND {
            let resource = key.to_string();
            return Err(CommandError::NotFound { resource });
        }
        expect_ok(&reply)?.json()
    }

    /// Reads the status of the node.
    ///
    /// # Errors
    /// [`CommandError`] when the node does not answer with its status.
    pub async fn status(&self) -> Result<NodeStatus, CommandError> {
        let reply = self.send(self.plain_request(Method::GET, STATUS_PATH)?).await?;
        expect_ok(&reply)?.json()
    }

    /// Creates a resource that must not exist, or replaces the one that has the expected version.
    ///
    /// # Errors
    /// [`CommandError`] when the change was refused.
    pub async fn put(
        &self,
        key: &ResourceKey,
        spec: &ResourceSpec,
        expected: Option<Offset>,
        change: &ChangeId,
    ) -> Result<SendOutcome, CommandError> {
        let body = PutRequest {
            spec: untagged_spec(spec),
            change: change.clone(),
        };
        let mut request = json_request(Method::PUT, &resource_path(key), &body)?;
        set_expected_version(&mut request, expected);
        change_outcome(key, &self.send(request).await?)
    }

    /// Deletes a resource that has the expected version.
    ///
    /// # Errors
    /// [`CommandError`] when the change was refused.
    pub async fn delete(
        &self,
        key: &ResourceKey,
        expected: Offset,
        change: &ChangeId,
    ) -> Result<SendOutcome, CommandError> {
        let mut request = self.plain_request(Method::DELETE, &resource_path(key))?;
        set_expected_version(&mut request, Some(expected));
        let value = HeaderValue::from_str(change).expect("generated identifiers are valid header values");
        request
            .headers_mut()
            .insert(HeaderName::from_static(CHANGE_HEADER), value);
        change_outcome(key, &self.send(request).await?)
    }

    /// Watches the resources of a kind from an offset on; each line of the body is a watch event.
    ///
    /// # Errors
    /// [`CommandError`] when the node refuses the watch or does not answer.
    pub async fn watch(&self, kind: ResourceKind, from: Offset) -> Result<Response<Incoming>, CommandError> {
        let path = format!("{API_PREFIX}{kind}?watch=1&from={from}");
        let mut request = self.plain_request(Method::GET, &path)?;
        insert_bearer_key(request.headers_mut(), self.key.as_deref())?;
        let response = self.client.open(self.server, request).await?;
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        Err(CommandError::Failed {
            reason: format!("the watch was refused with status {}", response.status()),
        })
    }

    fn plain_request(&self, method: Method, path: &str) -> Result<Request<Full<Bytes>>, CommandError> {
        Request::builder()
            .method(method)
            .uri(path)
            .body(Full::default())
            .map_err(|error| CommandError::Usage {
                reason: format!("invalid path {path} for {}: {error}", self.server),
            })
    }

    async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<HttpReply, CommandError> {
        insert_bearer_key(request.headers_mut(), self.key.as_deref())?;
        self.client.call(self.server, request).await
    }
}

fn resource_path(key: &ResourceKey) -> String {
    format!("{API_PREFIX}{}/{}", key.kind, key.name)
}

fn set_expected_version(request: &mut Request<Full<Bytes>>, expected: Option<Offset>) {
    let headers = request.headers_mut();
    match expected {
        Some(version) => headers.insert(IF_MATCH, HeaderValue::from(version)),
        None => headers.insert(IF_NONE_MATCH, HeaderValue::from_static("*")),
    };
}

fn change_outcome(key: &ResourceKey, reply: &HttpReply) -> Result<SendOutcome, CommandError> {
    let resource = key.to_string();
    match reply.status {
        StatusCode::OK => Ok(SendOutcome::Accepted(reply.json()?)),
        StatusCode::CONFLICT => {
            let ConflictAnswer { current, .. } = reply.json()?;
            Err(CommandError::Conflict { resource, current })
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            let InvalidAnswer { errors } = reply.json()?;
            let lines = errors
                .iter()
                .map(|error| format!("{resource}: {}: {}", error.field, error.reason));
            Err(CommandError::Invalid {
                errors: lines.collect(),
            })
        }
        StatusCode::NOT_FOUND => Err(CommandError::NotFound { resource }),
        StatusCode::SERVICE_UNAVAILABLE if is_outcome_unknown(reply) => Ok(SendOutcome::Unknown),
        _ => Err(status_error(reply)),
    }
}

fn is_outcome_unknown(reply: &HttpReply) -> bool {
    let body: Result<UnknownAnswer, CommandError> = reply.json();
    body.is_ok_and(|body| body.error.code == OUTCOME_UNKNOWN)
}

fn expect_ok(reply: &HttpReply) -> Result<&HttpReply, CommandError> {
    if reply.status == StatusCode::OK {
        return Ok(reply);
    }
    Err(status_error(reply))
}

fn status_error(reply: &HttpReply) -> CommandError {
    let body = String::from_utf8_lossy(&reply.body);
    CommandError::Failed {
        reason: format!("status {}: {}", reply.status, body.trim()),
    }
}
