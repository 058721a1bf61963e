//! Metrics of the control traffic between nodes.

use mustardgate_protocol::peers::{MessageKind, PeerMeter};

use crate::telemetry::record_control_bytes;

/// Records the bytes between nodes as metrics, by kind of message and direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct MetricsMeter;

impl PeerMeter for MetricsMeter {
    fn sent(&self, kind: MessageKind, bytes: usize) {
        record_control_bytes(kind.name(), "sent", bytes as u64);
    }

    fn received(&self, kind: MessageKind, bytes: usize) {
        record_control_bytes(kind.name(), "received", bytes as u64);
    }
}
