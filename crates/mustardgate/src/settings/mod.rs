//! Settings of a node, read from a TOML file and checked before anything starts.
//!
//! Each section has its own module with its defaults; [`NodeSettings`] lists the sections.
//! Every key is described in `docs/SETTINGS.md`.

mod backends;
mod callers;
mod check;
mod drain;
mod keys;
mod logging;
mod node;
mod operators;
mod peers;
mod platform;

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use mustardgate_protocol::peers::PeerKeyError;
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

pub use self::{
    backends::BackendSettings,
    callers::CallerSettings,
    check::{RangeCheck, RangeFault},
    drain::DrainSettings,
    keys::{KEY_SHARDS, KeyWindowSettings},
    logging::{LogFormat, LoggingSettings},
    node::IdentitySettings,
    operators::OperatorSettings,
    peers::PeerSettings,
    platform::PlatformSettings,
};

/// All settings of a node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name and location of the node.
    pub node: IdentitySettings,
    /// The callers' listener and its limits.
    pub callers: CallerSettings,
    /// The operators' listener.
    pub operators: OperatorSettings,
    /// The listener for other nodes.
    pub peers: PeerSettings,
    /// The platform's log and list of VMs.
    pub platform: PlatformSettings,
    /// Connections to backend servers.
    #[serde(default)]
    pub backends: BackendSettings,
    /// Idempotency keys.
    #[serde(default)]
    pub keys: KeyWindowSettings,
    /// Timing of a planned stop.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Log output.
    #[serde(default)]
    pub logging: LoggingSettings,
}

/// Why settings were refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is not TOML, or has an unknown key or a value of the wrong type; the message names line and key.
    #[snafu(display("{}: {message}", path.display()))]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Explanation with line and key.
        message: String,
    },
    /// A value lies outside its range or is empty.
    #[snafu(display("{}:{line}: {fault}", path.display()))]
    OutOfRange {
        /// Path of the file.
        path: PathBuf,
        /// Line of the key, from 1.
        line: usize,
        /// The key and what is wrong with its value.
        fault: RangeFault,
    },
    /// The key that all nodes of the deployment share is too short.
    #[snafu(display("{}: {source}", path.display()))]
    WeakPeerKey {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: PeerKeyError,
    },
    /// The file of a secret is empty.
    #[snafu(display("{} contains no key", path.display()))]
    EmptySecret {
        /// Path of the file.
        path: PathBuf,
    },
}

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] with the line and key at fault.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text, path)
    }

    /// Parses and checks settings from text; `path` is used only in errors.
    ///
    /// # Errors
    /// [`SettingsError`] with the line and key at fault.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Malformed {
            path: path.to_owned(),
            message: error.to_string(),
        })?;
        let mut check = RangeCheck::default();
        settings.check(&mut check);
        if let Some(fault) = check.into_first_fault() {
            return Err(SettingsError::OutOfRange {
                path: path.to_owned(),
                line: fault.line_in(text),
                fault,
            });
        }
        Ok(settings)
    }

    fn check(&self, check: &mut RangeCheck) {
        self.node.check(check);
        self.callers.check(check);
        self.peers.check(check);
        self.platform.check(check);
        self.backends.check(check);
        self.keys.check(check, self.platform.retention_s);
        self.drain.check(check);
    }
}

/// Reads a secret from a file of its own, which keeps it out of the settings file and of log lines.
///
/// # Errors
/// [`SettingsError`] when the file cannot be read or is empty.
pub fn read_secret(path: &Path) -> Result<String, SettingsError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let secret = text.trim().to_owned();
    ensure!(!secret.is_empty(), EmptySecretSnafu { path });
    Ok(secret)
}
