//! The calls that nodes make to each other.
#![allow(
    missing_docs,
    reason = "the service macro generates public items that cannot be documented"
)]

use mustardgate_core::{
    config::FeedFrame,
    ids::Offset,
    log::{BatchRecord, SnapshotRecord},
    membership::{DomainDigest, NodeHeartbeat},
    ports::AppendError,
};
use serde::{Deserialize, Serialize};
use tarpc::{ClientMessage, Response};

use super::meter::MessageKind;

/// What became of a batch at the domain's writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionOutcome {
    /// It was appended in a record at this offset.
    Appended {
        /// Offset of the record.
        offset: Offset,
    },
    /// It certainly was not appended.
    NotAppended,
    /// It may have been appended.
    Unknown,
}

impl From<Result<Offset, AppendError>> for SubmissionOutcome {
    fn from(result: Result<Offset, AppendError>) -> Self {
        match result {
            Ok(offset) => Self::Appended { offset },
            Err(AppendError::NotAppended) => Self::NotAppended,
            Err(AppendError::Unknown) => Self::Unknown,
        }
    }
}

#[tarpc::service]
pub trait PeerService {
    async fn heartbeat(heartbeat: NodeHeartbeat);
    async fn digest(digest: DomainDigest);
    async fn config_state() -> Option<SnapshotRecord>;
    async fn config_feed(frame: FeedFrame);
    async fn submit_keys(batch: BatchRecord) -> SubmissionOutcome;
}

/// A message whose kind is counted.
pub(super) trait KindedMessage {
    /// Returns the kind.
    fn kind(&self) -> MessageKind;
}

impl KindedMessage for ClientMessage<PeerServiceRequest> {
    fn kind(&self) -> MessageKind {
        let Self::Request(request) = self else {
            return MessageKind::Other;
        };
        match request.message {
            PeerServiceRequest::Heartbeat { .. } => MessageKind::Heartbeat,
            PeerServiceRequest::Digest { .. } => MessageKind::Digest,
            PeerServiceRequest::ConfigState { .. } => MessageKind::ConfigState,
            PeerServiceRequest::ConfigFeed { .. } => MessageKind::ConfigFeed,
            PeerServiceRequest::SubmitKeys { .. } => MessageKind::SubmitKeys,
        }
    }
}

impl KindedMessage for Response<PeerServiceResponse> {
    fn kind(&self) -> MessageKind {
        match self.message {
            Ok(PeerServiceResponse::Heartbeat(..)) => MessageKind::Heartbeat,
            Ok(PeerServiceResponse::Digest(..)) => MessageKind::Digest,
            Ok(PeerServiceResponse::ConfigState(..)) => MessageKind::ConfigState,
            Ok(PeerServiceResponse::ConfigFeed(..)) => MessageKind::ConfigFeed,
            Ok(PeerServiceResponse::SubmitKeys(..)) => MessageKind::SubmitKeys,
            Err(_) => MessageKind::Other,
        }
    }
}
