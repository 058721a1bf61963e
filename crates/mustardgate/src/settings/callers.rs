//! Settings of the callers' listener.

use std::{net::SocketAddr, time::Duration};

use mustardgate_core::buffers::READ_BYTES;
use serde::Deserialize;

use super::RangeCheck;

/// The callers' listener and its limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Maximum number of header fields of a request.
    #[serde(default = "default_max_headers")]
    pub max_headers: usize,
    /// Maximum size of the head of a request, in bytes.
    #[serde(default = "default_max_head_bytes")]
    pub max_head_bytes: usize,
    /// Maximum number of requests of one HTTP/2 connection open at once.
    #[serde(default = "default_max_streams")]
    pub max_streams: u32,
    /// Time within which a whole request must have arrived, in milliseconds.
    #[serde(default = "default_receive_timeout_ms")]
    pub receive_timeout_ms: u64,
    /// Time within which the whole answer is due when the caller states no deadline, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// Maximum number of connections open at once.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Maximum number of requests in the queue.
    #[serde(default = "default_max_queued")]
    pub max_queued: usize,
    /// Maximum total size of the requests in the queue, in bytes.
    #[serde(default = "default_max_queued_bytes")]
    pub max_queued_bytes: usize,
}

fn default_max_body_bytes() -> usize {
    1 << 20
}

fn default_max_headers() -> usize {
    64
}

fn default_max_head_bytes() -> usize {
    READ_BYTES
}

fn default_max_streams() -> u32 {
    100
}

fn default_receive_timeout_ms() -> u64 {
    10_000
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_max_connections() -> usize {
    4_096
}

fn default_max_queued() -> usize {
    1_024
}

fn default_max_queued_bytes() -> usize {
    16 << 20
}

impl CallerSettings {
    /// Returns the time within which a whole request must have arrived.
    pub fn receive_timeout(&self) -> Duration {
        Duration::from_millis(self.receive_timeout_ms)
    }

    /// Returns the time within which the whole answer is due when the caller states no deadline.
    pub fn default_deadline(&self) -> Duration {
        Duration::from_millis(self.default_deadline_ms)
    }

    pub(super) fn check(&self, check: &mut RangeCheck) {
        check.within("callers", "max_body_bytes", self.max_body_bytes, 1_024..=64 << 20);
        check.within("callers", "max_headers", self.max_headers, 8..=256);
        check.within("callers", "max_head_bytes", self.max_head_bytes, 8 << 10..=1 << 20);
        check.within("callers", "max_streams", self.max_streams, 1..=1_000);
        check.within("callers", "receive_timeout_ms", self.receive_timeout_ms, 100..=120_000);
        check.within(
            "callers",
            "default_deadline_ms",
            self.default_deadline_ms,
            100..=3_600_000,
        );
        check.within("callers", "max_connections", self.max_connections, 1..=100_000);
        check.within("callers", "max_queued", self.max_queued, 1..=100_000);
        check.within("callers", "max_queued_bytes", self.max_queued_bytes, 1_024..=1 << 30);
    }
}
