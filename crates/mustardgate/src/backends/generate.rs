//! Generation at engines over HTTP, as a stream of typed events.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode, body::Incoming};
use mustardgate_core::{ids::RequestId, verdict::RunVerdict};
use mustardgate_protocol::engine::{CANCEL_PATH, CancelRequest, EngineEvent, GENERATE_PATH, GenerateRequest};
use snafu::Snafu;
use tokio::time;

use super::sse::EventSplitter;
use crate::http::{CallError, HttpClient, json_request};

/// Largest accepted answer to a cancellation, in bytes.
const MAX_CANCEL_BYTES: usize = 4_096;

/// Why an attempt at an engine ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum AttemptError {
    /// The call to the engine failed.
    #[snafu(display("{source}"))]
    Call {
        /// Cause.
        source: CallError,
    },
    /// The engine does not hold the weights.
    #[snafu(display("the weights are not resident"))]
    NotResident,
    /// The engine has no capacity for the request.
    #[snafu(display("the engine has no capacity"))]
    NoCapacity,
    /// The engine answered with another status.
    #[snafu(display("the engine answered with status {status}"))]
    UnexpectedStatus {
        /// The status.
        status: u16,
    },
    /// The stream broke off, stalled, or contained an unreadable or too long event.
    #[snafu(display("the stream broke off"))]
    BrokenStream,
}

impl AttemptError {
    /// Returns whether the request may have run.
    pub fn verdict(self) -> RunVerdict {
        match self {
            Self::Call { source } => source.verdict(),
            Self::NotResident | Self::NoCapacity => RunVerdict::NotRun,
            Self::UnexpectedStatus { .. } | Self::BrokenStream => RunVerdict::MayHaveRun,
        }
    }
}

/// Client for generation at engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    client: HttpClient,
    stall_timeout: Duration,
}

impl EngineClient {
    /// Creates a client; `stall_timeout` limits the wait for each part of a stream and for an answer to `cancel`.
    pub fn new(client: HttpClient, stall_timeout: Duration) -> Self {
        Self { client, stall_timeout }
    }

    /// Starts a generation.
    ///
    /// # Errors
    /// [`AttemptError`], whose verdict says whether the request may have run.
    pub async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerateRequest,
        timeout: Duration,
    ) -> Result<EventStream, AttemptError> {
        let request = json_request(Method::POST, GENERATE_PATH, request);
        let reply = self
            .client
            .open(address, request, timeout)
            .await
            .map_err(|source| AttemptError::Call { source })?;
        match reply.status() {
            StatusCode::OK => Ok(EventStream {
                body: reply.into_body(),
                splitter: EventSplitter::default(),
                stall_timeout: self.stall_timeout,
            }),
            StatusCode::CONFLICT => Err(AttemptError::NotResident),
            StatusCode::SERVICE_UNAVAILABLE => Err(AttemptError::NoCapacity),
            status => Err(AttemptError::UnexpectedStatus {
                status: status.as_u16(),
            }),
        }
    }

    /// Asks an engine to stop a generation; a lost cancellation only costs the engine's time.
    pub async fn cancel(&self, address: SocketAddr, request: RequestId) {
        let request = json_request(Method::POST, CANCEL_PATH, &CancelRequest { request });
        drop(
            self.client
                .call(address, request, self.stall_timeout, MAX_CANCEL_BYTES)
                .await,
        );
    }
}

/// Stream of the events of one generation.
#[derive(Debug)]
pub struct EventStream {
    body: Incoming,
    splitter: EventSplitter,
    stall_timeout: Duration,
}

impl EventStream {
    /// Returns the next event, or `None` when the stream ended.
    ///
    /// # Errors
    /// [`AttemptError::BrokenStream`] if the stream breaks off, stalls, or contains an unreadable or too long event.
    pub async fn next(&mut self) -> Result<Option<EngineEvent>, AttemptError> {
        loop {
            if let Some(data) = self.splitter.next_event() {
                return serde_json::from_slice(&data)
                    .map(Some)
                    .map_err(|_error| AttemptError::BrokenStream);
            }
            let Some(bytes) = self.receive().await? else {
                return Ok(None);
            };
            if !self.splitter.push(&bytes) {
                return Err(AttemptError::BrokenStream);
            }
        }
    }

    async fn receive(&mut self) -> Result<Option<Bytes>, AttemptError> {
        loop {
            let frame = time::timeout(self.stall_timeout, self.body.frame()).await;
            let frame = frame.map_err(|_error| AttemptError::BrokenStream)?;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame.map_err(|_error| AttemptError::BrokenStream)?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }
}
