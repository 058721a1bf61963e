//! The calls that nodes make to each other.
#![allow(
    missing_docs,
    reason = "the service macro generates public items that cannot be documented"
)]

use mustardgate_core::{
    config::FeedFrame,
    ids::{DomainId, Offset},
    log::{BatchRecord, SnapshotRecord},
    membership::{DomainDigest, NodeHeartbeat},
    ports::AppendError,
    reports::{DemandReport, ReportCatalogue, ReportFrame},
};
use serde::{Deserialize, Serialize};
use tarpc::{ClientMessage, Response};

use super::meter::MessageKind;

/// Result of submitting a batch to the writer of the failure domain.
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
    async fn report_frame(frame: ReportFrame);
    async fn report_catalogue(domain: DomainId) -> Option<ReportCatalogue>;
    async fn demand(report: DemandReport);
}

/// A message whose bytes are counted by its kind.
pub(super) trait MeteredMessage {
    /// Returns the kind.
    fn kind(&self) -> MessageKind;
}

impl MeteredMessage for ClientMessage<PeerServiceRequest> {
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
            PeerServiceRequest::ReportFrame { .. } => MessageKind::ReportFrame,
            PeerServiceRequest::ReportCatalogue { .. } => MessageKind::ReportCatalogue,
            PeerServiceRequest::Demand { .. } => MessageKind::Demand,
        }
    }
}

impl MeteredMessage for Response<PeerServiceResponse> {
    fn kind(&self) -> MessageKind {
        match self.message {
            Ok(PeerServiceResponse::Heartbeat(..)) => MessageKind::Heartbeat,
            Ok(PeerServiceResponse::Digest(..)) => MessageKind::Digest,
            Ok(PeerServiceResponse::ConfigState(..)) => MessageKind::ConfigState,
            Ok(PeerServiceResponse::ConfigFeed(..)) => MessageKind::ConfigFeed,
            Ok(PeerServiceResponse::SubmitKeys(..)) => MessageKind::SubmitKeys,
            Ok(PeerServiceResponse::ReportFrame(..)) => MessageKind::ReportFrame,
            Ok(PeerServiceResponse::ReportCatalogue(..)) => MessageKind::ReportCatalogue,
            Ok(PeerServiceResponse::Demand(..)) => MessageKind::Demand,
            Err(_) => MessageKind::Other,
        }
    }
}
