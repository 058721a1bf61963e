//! Counting of bytes between nodes, by kind of message.

use std::fmt::Debug;

use derive_more::Display;

/// Kind of a message between nodes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Sign of life inside a failure domain.
    #[display("heartbeat")]
    Heartbeat,
    /// News between failure domains.
    #[display("digest")]
    Digest,
    /// Whole configuration.
    #[display("config_state")]
    ConfigState,
    /// Log entries for followers of the configuration.
    #[display("config_feed")]
    ConfigFeed,
    /// Claims and outcomes of keys on the way to the domain's writer.
    #[display("submit_keys")]
    SubmitKeys,
    /// Cancellations and errors of the call protocol.
    #[display("other")]
    Other,
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
