//! Settings of the listener for other nodes.

use std::{net::SocketAddrV4, path::PathBuf, time::Duration};

use serde::Deserialize;

use super::RangeCheck;

/// The listener for other nodes of the deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on, which is also the node's address in the platform's list.
    pub listen: SocketAddrV4,
    /// File with the key that all nodes of the deployment share.
    pub key_file: PathBuf,
    /// Time between heartbeats to the nodes of the own failure domain, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Time between digests to other failure domains, in milliseconds.
    #[serde(default = "default_digest_ms")]
    pub digest_ms: u64,
}

fn default_heartbeat_ms() -> u64 {
    1_000
}

fn default_digest_ms() -> u64 {
    2_000
}

impl PeerSettings {
    /// Returns the time between heartbeats.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time between digests.
    pub fn digest(&self) -> Duration {
        Duration::from_millis(self.digest_ms)
    }

    pub(super) fn check(&self, check: &mut RangeCheck) {
        check.within("peers", "heartbeat_ms", self.heartbeat_ms, 50..=10_000);
        check.within("peers", "digest_ms", self.digest_ms, 100..=60_000);
    }
}
