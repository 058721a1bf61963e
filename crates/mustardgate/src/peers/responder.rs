//! Handler of the calls from other nodes.

use std::sync::Arc;

use async_trait::async_trait;
use mustardgate_core::{
    clock,
    config::FeedFrame,
    ids::DomainId,
    log::{BatchRecord, LogRecord, SnapshotRecord},
    membership::{DomainDigest, NodeHeartbeat},
    reports::{DemandReport, ReportCatalogue, ReportFrame},
};
use mustardgate_protocol::peers::{PeerHandler, SubmissionOutcome};

use super::PeerHub;
use crate::{context::NodeContext, runners::apply_frame, vms::apply_availability};

/// Answers calls from other nodes with the state of this node.
#[derive(Debug)]
pub struct PeerResponder {
    context: Arc<NodeContext>,
    hub: Arc<PeerHub>,
}

impl PeerResponder {
    /// Creates the responder of one node.
    pub fn new(context: Arc<NodeContext>, hub: Arc<PeerHub>) -> Self {
        Self { context, hub }
    }
}

#[async_trait]
impl PeerHandler for PeerResponder {
    async fn heartbeat(&self, heartbeat: NodeHeartbeat) {
        if self.context.vms.heartbeat_received(&heartbeat, clock::now()) {
            apply_availability(&self.context);
        }
    }

    async fn digest(&self, digest: DomainDigest) {
        if self.context.vms.digest_received(&digest, clock::now()) {
            apply_availability(&self.context);
        }
    }

    async fn config_state(&self) -> Option<SnapshotRecord> {
        let author = self.context.settings.node.name.clone();
        self.context.directory.read(|replica| replica.to_snapshot(author))
    }

    async fn config_feed(&self, frame: FeedFrame) {
        self.context.directory.inbox().push(frame);
    }

    async fn submit_keys(&self, batch: BatchRecord) -> SubmissionOutcome {
        let appended = self.context.log.append(LogRecord::Batch(batch)).await;
        self.context.tail.wake();
        appended.into()
    }

    async fn report_frame(&self, frame: ReportFrame) {
        apply_frame(&self.context, &self.hub, frame);
    }

    async fn report_catalogue(&self, domain: DomainId) -> Option<ReportCatalogue> {
        self.context.reports.catalogue(&domain)
    }

    async fn demand(&self, report: DemandReport) {
        self.context.demand.add(&report.counts);
    }
}
