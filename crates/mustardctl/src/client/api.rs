//! The operators' resource API.

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

use super::http::{ClientAnswer, HttpConnector, bearer_header, json_body};
use crate::cli::CommandError;

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// It was accepted.
    Accepted(ChangeAnswer),
    /// It may have been accepted; sending it again is safe.
    Unknown,
}

/// Talks to the resource API of one node.
#[derive(Clone, Debug)]
pub struct ApiClient {
    server: SocketAddr,
    key: Option<String>,
    connector: HttpConnector,
}

impl ApiClient {
    /// Creates a client; nothing is sent yet.
    pub fn new(server: SocketAddr, key: Option<String>) -> Self {
        let connector = HttpConnector::new();
        Self { server, key, connector }
    }

    /// Lists the resources of a kind.
    ///
    /// # Errors
    /// [`CommandError`] when the node does not answer with a list.
    pub async fn list(&self, kind: ResourceKind) -> Result<ResourceList, CommandError> {
        let answer = self
            .send(self.plain(Method::GET, &format!("{API_PREFIX}{kind}"))?)
            .await?;
        expect_ok(&answer)?.json()
    }

    /// Lists the resources of every kind, in the order in which they are created.
    ///
    /// # Errors
    /// [`CommandError`] when the node does not answer with lists.
    pub async fn list_all(&self) -> Result<Vec<VersionedResource>, CommandError> {
        let mut resources = Vec::new();
        for kind in ResourceKind::ALL {
            let list = self.list(kind).await?;
            resources.extend(list.items.into_iter().map(|item| item.resource));
        }
        Ok(resources)
    }

    /// Reads one resource.
    ///
    /// # Errors
    /// [`CommandError::NotFound`] when there is none.
    pub async fn get(&self, key: &ResourceKey) -> Result<ResourceView, CommandError> {
        let answer = self.send(self.plain(Method::GET, &resource_path(key))?).await?;
        if answer.status == StatusCode::NOT_FOUND {
            let resource = key.to_string();
            return Err(CommandError::NotFound { resource });
        }
        expect_ok(&answer)?.json()
    }

    /// Reads the status of the node.
    ///
    /// # Errors
    /// [`CommandError`] when the node does not answer with it.
    pub async fn status(&self) -> Result<NodeStatus, CommandError> {
        let answer = self.send(self.plain(Method::GET, STATUS_PATH)?).await?;
        expect_ok(&answer)?.json()
    }

    /// Creates a resource, or replaces the one that has the expected version.
    ///
    /// # Errors
    /// [`CommandError`] when the change was refused.
    pub async fn put(
        &self,
        key: &ResourceKey,
        spec: &ResourceSpec,
        expected: Option<Offset>,
        change: &ChangeId,
    ) -> Result<PutOutcome, CommandError> {
        let body = PutRequest {
            spec: untagged_spec(spec),
            change: change.clone(),
        };
        let mut request = json_body(Method::PUT, &resource_path(key), &body)?;
        expect_version(&mut request, expected);
        read_change(key, &self.send(request).await?)
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
    ) -> Result<PutOutcome, CommandError> {
        let mut request = self.plain(Method::DELETE, &resource_path(key))?;
        expect_version(&mut request, Some(expected));
        let value = HeaderValue::from_str(change).expect("identifiers made here are hexadecimal");
        request
            .headers_mut()
            .insert(HeaderName::from_static(CHANGE_HEADER), value);
        read_change(key, &self.send(request).await?)
    }

    /// Opens a watch of a kind; each line of the body is an event.
    ///
    /// # Errors
    /// [`CommandError`] when the node does not answer with one.
    pub async fn watch(&self, kind: ResourceKind, from: Offset) -> Result<Response<Incoming>, CommandError> {
        let path = format!("{API_PREFIX}{kind}?watch=1&from={from}");
        let mut request = self.plain(Method::GET, &path)?;
        bearer_header(request.headers_mut(), self.key.as_deref())?;
        let response = self.connector.open(self.server, request).await?;
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        Err(CommandError::Failed {
            reason: format!("the watch was answered with status {}", response.status()),
        })
    }

    fn plain(&self, method: Method, path: &str) -> Result<Request<Full<Bytes>>, CommandError> {
        Request::builder()
            .method(method)
            .uri(path)
            .body(Full::default())
            .map_err(|error| CommandError::Usage {
                reason: format!("{path} at {}: {error}", self.server),
            })
    }

    async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<ClientAnswer, CommandError> {
        bearer_header(request.headers_mut(), self.key.as_deref())?;
        self.connector.call(self.server, request).await
    }
}

fn resource_path(key: &ResourceKey) -> String {
    format!("{API_PREFIX}{}/{}", key.kind, key.name)
}

fn expect_version(request: &mut Request<Full<Bytes>>, expected: Option<Offset>) {
    let headers = request.headers_mut();
    match expected {
        Some(version) => headers.insert(IF_MATCH, HeaderValue::from(version)),
        None => headers.insert(IF_NONE_MATCH, HeaderValue::from_static("*")),
    };
}

fn read_change(key: &ResourceKey, answer: &ClientAnswer) -> Result<PutOutcome, CommandError> {
    let resource = key.to_string();
    match answer.status {
        StatusCode::OK => Ok(PutOutcome::Accepted(answer.json()?)),
        StatusCode::CONFLICT => {
            let ConflictAnswer { current, .. } = answer.json()?;
            Err(CommandError::Conflict { resource, current })
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            let InvalidAnswer { errors } = answer.json()?;
            let errors = errors
                .iter()
                .map(|error| format!("{resource}: {}: {}", error.field, error.reason));
            Err(CommandError::Invalid {
                errors: errors.collect(),
            })
        }
        StatusCode::NOT_FOUND => Err(CommandError::NotFound { resource }),
        StatusCode::SERVICE_UNAVAILABLE if is_unknown(answer) => Ok(PutOutcome::Unknown),
        _ => Err(failed(answer)),
    }
}

fn is_unknown(answer: &ClientAnswer) -> bool {
    let unknown: Result<UnknownAnswer, CommandError> = answer.json();
    unknown.is_ok_and(|unknown| unknown.error.code == OUTCOME_UNKNOWN)
}

fn expect_ok(answer: &ClientAnswer) -> Result<&ClientAnswer, CommandError> {
    if answer.status == StatusCode::OK {
        return Ok(answer);
    }
    Err(failed(answer))
}

fn failed(answer: &ClientAnswer) -> CommandError {
    let body = String::from_utf8_lossy(&answer.body);
    CommandError::Failed {
        reason: format!("status {}: {}", answer.status, body.trim()),
    }
}
