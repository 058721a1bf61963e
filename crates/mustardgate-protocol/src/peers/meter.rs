//! Counting of bytes between nodes, by kind of message.

use std::fmt::Debug;

use derive_more::Display;

/// Kind of a message between nodes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", self.name())]
pub enum MessageKind {
    /// Sign of life inside a failure domain.
    Heartbeat,
    /// News between failure domains.
    Digest,
    /// Whole configuration.
    ConfigState,
    /// Log entries from a feeder to the other nodes of its failure domain.
    ConfigFeed,
    /// Claims and outcomes of keys on the way to the domain's writer.
    SubmitKeys,
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

/// Counts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilentMeter;

impl PeerMeter for SilentMeter {
    fn sent(&self, _kind: MessageKind, _bytes: usize) {}

    fn received(&self, _kind: MessageKind, _bytes: usize) {}
}
