//! Settings of the listener for other nodes.

use std::{net::SocketAddrV4, path::PathBuf, time::Duration};

use mustardgate_protocol::peers::PeerKey;
use serde::Deserialize;
use snafu::ResultExt;

use super::{RangeCheck, SettingsError, WeakPeerKeySnafu, read_secret};

/// The listener for other nodes of the deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on, which is also the node's address in the platform's list.
    pub listen: SocketAddrV4,
    /// File with the key that all nodes of the deployment share.
    pub key_file: PathBuf,
    /// Interval of heartbeats to the nodes of the own failure domain, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Interval of digests to other failure domains, in milliseconds.
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
    /// Returns the interval of heartbeats to the nodes of the own failure domain.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the interval of digests to other failure domains.
    pub fn digest_interval(&self) -> Duration {
        Duration::from_millis(self.digest_ms)
    }

    /// Reads the key that all nodes of the deployment share.
    ///
    /// # Errors
    /// [`SettingsError`] when the file cannot be read or its key is too short.
    pub fn read_key(&self) -> Result<PeerKey, SettingsError> {
        let path = &self.key_file;
        let secret = read_secret(path)?;
        PeerKey::new(secret.as_bytes()).context(WeakPeerKeySnafu { path })
    }

    pub(super) fn check(&self, check: &mut RangeCheck) {
        check.within("peers", "heartbeat_ms", self.heartbeat_ms, 50..=10_000);
        check.within("peers", "digest_ms", self.digest_ms, 100..=60_000);
    }
}
