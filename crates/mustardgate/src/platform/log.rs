//! The platform's log over HTTP.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use hyper::{Method, StatusCode};
use mustardgate_core::{
    ids::Offset,
    log::LogRecord,
    ports::{AppendError, LogPage, PlatformLog, ReadError},
    verdict::RunVerdict,
};
use mustardgate_protocol::platform::{APPEND_PATH, AppendAnswer, RECORDS_PATH, TrimmedAnswer};

use crate::http::{CallLimits, HttpClient, json_request, plain_request};

/// Maximum size of an answer of the log, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The platform's log over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatformLog {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpPlatformLog {
    /// Creates the client; nothing is sent yet.
    pub fn new(client: HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    fn limits(&self) -> CallLimits {
        CallLimits {
            timeout: self.timeout,
            max_bytes: MAX_ANSWER_BYTES,
            pace: None,
        }
    }
}

#[async_trait]
impl PlatformLog for HttpPlatformLog {
    async fn append(&self, record: LogRecord) -> Result<Offset, AppendError> {
        let request = json_request(Method::POST, APPEND_PATH, &record);
        let reply = match self
            .client
            .call_counted("log_append", self.address, request, self.limits())
            .await
        {
            Ok(reply) => reply,
            Err(error) if error.verdict() == RunVerdict::NotRun => return Err(AppendError::NotAppended),
            Err(_) => return Err(AppendError::Unknown),
        };
        match reply.status {
            StatusCode::OK => serde_json::from_slice::<AppendAnswer>(&reply.body)
                .map(|answer| answer.offset)
                .map_err(|_error| AppendError::Unknown),
            StatusCode::SERVICE_UNAVAILABLE => Err(AppendError::NotAppended),
            _ => Err(AppendError::Unknown),
        }
    }

    async fn read(&self, from: Offset, limit: usize) -> Result<LogPage, ReadError> {
        let path = format!("{RECORDS_PATH}?from={from}&limit={limit}");
        let request = plain_request(Method::GET, &path);
        let reply = self
            .client
            .call_counted("log_read", self.address, request, self.limits())
            .await
            .map_err(|_error| ReadError::Unavailable)?;
        match reply.status {
            StatusCode::OK => serde_json::from_slice(&reply.body).map_err(|_error| ReadError::Unavailable),
            StatusCode::GONE => match serde_json::from_slice::<TrimmedAnswer>(&reply.body) {
                Ok(answer) => Err(ReadError::Trimmed {
                    earliest: answer.earliest,
                }),
                Err(_) => Err(ReadError::Unavailable),
            },
            _ => Err(ReadError::Unavailable),
        }
    }
}
