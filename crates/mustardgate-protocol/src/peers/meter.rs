//! Counting of bytes between nodes, by kind of message.

use std::fmt::Debug;

use derive_more::Display;

/// Kind of a message between nodes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", self.name())]
pub enum MessageKind {
    /// Heartbeat between nodes of a failure domain.
    Heartbeat,
    /// Membership digest from one failure domain to another.
    Digest,
    /// Whole configuration.
    ConfigState,
    /// Log entries from a feeder to the other nodes of its failure domain.
    ConfigFeed,
    /// Claims and outcomes of idempotency keys, sent to the writer of the failure domain.
    SubmitKeys,
    /// Changes at the runners of a failure domain.
    ReportFrame,
    /// All runners of a failure domain.
    ReportCatalogue,
    /// Request counts, sent to the leader of the failure domain.
    Demand,
    /// Cancellations and errors of the call protocol.
    Other,
}

impl MessageKind {
    /// Returns the name under which the kind is counted.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Digest => "digest",
            Self::ConfigState => "config_state",
            Self::ConfigFeed => "config_feed",
            Self::SubmitKeys => "submit_keys",
            Self::ReportFrame => "report_frame",
            Self::ReportCatalogue => "report_catalogue",
            Self::Demand => "demand",
            Self::Other => "other",
        }
    }
}

/// Counts bytes between nodes.
pub trait PeerMeter: Debug + Send + Sync {
    /// Counts the payload of one frame that was sent.
    fn sent(&self, kind: MessageKind, bytes: usize);

    /// Counts the payload of one frame that was received.
    fn received(&self, kind: MessageKind, bytes: usize);
}

/// A meter that counts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopMeter;

impl PeerMeter for NoopMeter {
    fn sent(&self, _kind: MessageKind, _bytes: usize) {}

    fn received(&self, _kind: MessageKind, _bytes: usize) {}
}
