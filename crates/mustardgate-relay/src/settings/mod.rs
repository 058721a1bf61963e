//! Settings of a relay node, read from one TOML file and validated before use; see `docs/SETTINGS.md`, "Relay nodes".

mod feed;
mod paced;
mod stated;

use std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use mustardgate::settings::LoggingSettings;
use mustardgate_core::{
    buffers::BufferLimits,
    ids::{DomainId, NodeId, RegionId},
    relay::{KeyBounds, QuotaBounds},
};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

pub use self::{
    feed::{FeedSettings, link_bytes_per_s},
    paced::PacedSettings,
    stated::StatedBounds,
};

/// Smallest memory with which buffers hold an answer of the largest size.
const MIN_MEMORY_MB: u64 = 64;
/// Memory assumed of a machine whose memory is not stated, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 512;
/// Bytes in a megabyte.
const MEGABYTE: u64 = 1024 * 1024;

/// Settings of a relay node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RelaySettings {
    /// Identity and location of the node.
    pub node: IdentitySettings,
    /// Addresses of the listeners.
    pub listen: ListenSettings,
    /// The platform's log.
    pub log: LogSettings,
    /// Bounds that the deployment prescribes.
    pub bounds: BoundSettings,
    /// Limit on bytes for other nodes.
    #[serde(default)]
    pub feed: FeedSettings,
    /// Decisions for services whose runners state their pace.
    #[serde(default)]
    pub paced: PacedSettings,
    /// Log output.
    #[serde(default)]
    pub logging: LogLineSettings,
    /// Bounds that the environment states, of which `bounds` holds those that the file lacks.
    #[serde(skip)]
    pub stated: StatedBounds,
}

/// Identity and location of a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct IdentitySettings {
    /// Name of the node.
    pub name: NodeId,
    /// Failure domain.
    pub domain: DomainId,
    /// Region.
    pub region: RegionId,
    /// File descriptors that the process may use.
    pub max_descriptors: u64,
    /// Capacity of the node's link, in megabits per second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Memory that the process may use, in megabytes, unless the environment states it.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Whether the whole deployment starts for the first time, so that nothing happened before that the node has to
    /// know.
    #[serde(default)]
    pub first_start: bool,
    /// Address from which the node connects to runners; the operating system's choice without one.
    #[serde(default)]
    pub source_ip: Option<IpAddr>,
}

/// Returns the capacity assumed of a link whose capacity is not stated.
fn default_link_mbps() -> f64 {
    1_000.0
}

impl IdentitySettings {
    /// Returns the limits on buffered bytes of a process whose environment states a memory limit, in megabytes, or none.
    pub fn buffer_limits(&self, stated_mb: Option<u64>) -> BufferLimits {
        let memory_mb = self.memory_mb.or(stated_mb).unwrap_or(DEFAULT_MEMORY_MB);
        let memory_bytes = memory_mb.max(MIN_MEMORY_MB).saturating_mul(MEGABYTE);
        BufferLimits::within(memory_bytes as usize)
    }
}

/// Addresses of the listeners.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks; may equal the callers' address.
    pub readiness: SocketAddr,
    /// Address for other nodes and for metrics.
    pub peers: Option<SocketAddr>,
    /// Peer addresses of a few nodes, called while the log is unavailable and no other node is known, as at a start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The platform's log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LogSettings {
    /// Address of the log.
    pub address: SocketAddr,
}

/// Bounds that the deployment prescribes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct BoundSettings {
    /// Longest time until a configuration change must be in force, in milliseconds.
    pub config_apply_ms: u64,
    /// Time after which a draining runner must receive no new requests, in milliseconds.
    pub drain_ms: u64,
    /// Time of uninterrupted contact after which the bounds hold, in milliseconds.
    pub contact_ms: u64,
    /// Longest time from a stop signal to the end of the process, in seconds.
    pub grace_s: f64,
    /// Retries allowed per request, over all nodes.
    pub retry_budget_ratio: f64,
    /// Retries allowed within a window regardless of the number of requests, over all nodes.
    pub retry_budget_extra: f64,
    /// Length of the retry budget's window, in seconds.
    pub budget_window_s: f64,
    /// Shortest time between two changes of a lease's holder, in milliseconds.
    pub lease_ms: u64,
    /// Length of the window over which loads from the weight store are counted, in seconds.
    pub load_window_s: f64,
    /// Factor on the number of loads that the weight store's rate allows within the window.
    pub load_overage: f64,
    /// Loads allowed within the window in addition.
    pub load_extra: f64,
    /// Whether runners refuse orders with an outdated fencing token.
    pub require_fencing: bool,
    /// Longest time, in milliseconds, for which keys are accepted by a configuration that was not read again; 0 for no
    /// limit.
    #[serde(default)]
    pub revoke_ms: u64,
    /// Whether no key is accepted after that time.
    #[serde(default)]
    pub revoke_fail_closed: bool,
    /// Length of the window over which the use of quotas is bounded, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Tolerated use in a window beyond a quota, as a part of the quota.
    #[serde(default)]
    pub quota_overage: f64,
    /// Tolerated use in a window in addition, in tokens.
    #[serde(default)]
    pub quota_slack: f64,
}

/// Returns the length of the window of quotas where none is set; without tolerated excess it has no effect.
fn default_quota_window_s() -> f64 {
    10.0
}

impl BoundSettings {
    /// Returns the shortest time within which a change must take effect.
    pub fn shortest_bound(&self) -> Duration {
        Duration::from_millis(self.config_apply_ms.min(self.drain_ms))
    }

    /// Returns the time within which every node takes up a configuration.
    pub fn config_apply(&self) -> Duration {
        Duration::from_millis(self.config_apply_ms)
    }

    /// Returns the time after which nothing is sent to a runner that left the list.
    pub fn drain_time(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns the bounds on the age of a configuration by which keys are judged.
    pub fn key_bounds(&self) -> KeyBounds {
        let has_limit = self.revoke_fail_closed && self.revoke_ms > 0;
        KeyBounds {
            config_apply: self.config_apply(),
            revoke: has_limit.then_some(Duration::from_millis(self.revoke_ms)),
        }
    }

    /// Returns the bounds on the use of quotas.
    pub fn quota_bounds(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_secs_f64(self.quota_window_s),
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }

    /// Returns the duration of a lease.
    pub fn lease_term(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the longest time from a stop signal to the end of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

/// Settings of the log output.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct LogLineSettings {
    /// Log lines about requests that a node writes per second; further ones are dropped and counted.
    pub request_lines_per_s: u32,
    /// One in this many successful requests is logged.
    pub sample_one_in: u64,
    /// Whether debug events are logged.
    pub debug: bool,
}

impl Default for LogLineSettings {
    fn default() -> Self {
        Self {
            request_lines_per_s: 40,
            sample_one_in: 16,
            debug: false,
        }
    }
}

impl LogLineSettings {
    /// Returns the settings of the logger itself.
    pub fn logger(&self) -> LoggingSettings {
        LoggingSettings {
            debug: self.debug,
            ..LoggingSettings::default()
        }
    }
}

/// Why settings were rejected.
#[derive(Debug, Snafu)]
pub enum RelaySettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is missing or has the wrong type.
    #[snafu(display("{path}: {reason}"))]
    Malformed {
        /// Path of the file.
        path: String,
        /// Message of the parser, with the name of the field.
        reason: String,
    },
    /// A value is out of range.
    #[snafu(display("{field}: {reason}"))]
    OutOfRange {
        /// The invalid field.
        field: &'static str,
        /// What is wrong.
        reason: String,
    },
}

impl RelaySettings {
    /// Reads and validates a settings file; `stated` holds the bounds that the environment states.
    ///
    /// # Errors
    /// [`RelaySettingsError`] when the file cannot be read, or with the invalid field.
    pub fn load(path: &Path, stated: &StatedBounds) -> Result<Self, RelaySettingsError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).context(UnreadableSnafu { path: name.clone() })?;
        Self::parse_with(&text, stated).map_err(|error| match error {
            RelaySettingsError::Malformed { reason, .. } => RelaySettingsError::Malformed { path: name, reason },
            other => other,
        })
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// [`RelaySettingsError`] with the invalid field.
    pub fn parse(text: &str) -> Result<Self, RelaySettingsError> {
        Self::parse_with(text, &StatedBounds::default())
    }

    /// Parses and validates the text of a settings file, which the bounds that the environment states complete.
    ///
    /// # Errors
    /// [`RelaySettingsError`] with the invalid field.
    pub fn parse_with(text: &str, stated: &StatedBounds) -> Result<Self, RelaySettingsError> {
        let malformed = |error: toml::de::Error| RelaySettingsError::Malformed {
            path: "settings".to_owned(),
            reason: error.to_string(),
        };
        let mut settings: Self = toml::from_str(text).map_err(malformed)?;
        if !stated.is_empty() {
            let mut table: toml::Table = toml::from_str(text).map_err(malformed)?;
            stated.fill_in(&mut table);
            settings = table.try_into().map_err(malformed)?;
            settings.stated = stated.clone();
        }
        settings.check()?;
        Ok(settings)
    }

    /// Returns whether this node itself or the log listens at an address, so that no runner does.
    pub fn is_own_address(&self, address: SocketAddr) -> bool {
        let listen = &self.listen;
        let is_own_host = |ip: IpAddr| {
            ip.is_loopback() || listen.peers.is_some_and(|own| own.ip() == ip) || self.node.source_ip == Some(ip)
        };
        let is_covered = |listener: SocketAddr| {
            let is_same_host =
                listener.ip() == address.ip() || (listener.ip().is_unspecified() && is_own_host(address.ip()));
            listener.port() == address.port() && is_same_host
        };
        let listeners = [Some(listen.callers), Some(listen.readiness), listen.peers];
        self.log.address == address || listeners.into_iter().flatten().any(is_covered)
    }

    fn check(&self) -> Result<(), RelaySettingsError> {
        let reject = |field, reason: &str| {
            Err(RelaySettingsError::OutOfRange {
                field,
                reason: reason.to_owned(),
            })
        };
        if self.node.name.is_empty() {
            return reject("node.name", "must not be empty");
        }
        let bounds = &self.bounds;
        let positive = BTreeMap::from([
            ("bounds.config_apply_ms", bounds.config_apply_ms),
            ("bounds.drain_ms", bounds.drain_ms),
            ("bounds.contact_ms", bounds.contact_ms),
            ("bounds.lease_ms", bounds.lease_ms),
            ("node.max_descriptors", self.node.max_descriptors),
        ]);
        if let Some((field, _)) = positive.into_iter().find(|(_, value)| *value == 0) {
            return reject(field, "must be above 0");
        }
        let is_valid_duration = |value: f64| value.is_finite() && value > 0.0 && value < 86_400.0;
        if !is_valid_duration(bounds.grace_s) {
            return reject("bounds.grace_s", "must be above 0 and below 86400");
        }
        if !is_valid_duration(bounds.budget_window_s) {
            return reject("bounds.budget_window_s", "must be above 0 and below 86400");
        }
        if !is_valid_duration(bounds.load_window_s) {
            return reject("bounds.load_window_s", "must be above 0 and below 86400");
        }
        if !(0.0..=100.0).contains(&bounds.load_overage) || !(0.0..=1_000.0).contains(&bounds.load_extra) {
            return reject(
                "bounds.load_overage",
                "must be between 0 and 100, and load_extra between 0 and 1000",
            );
        }
        if !is_valid_duration(bounds.quota_window_s) {
            return reject("bounds.quota_window_s", "must be above 0 and below 86400");
        }
        if !(0.0..=10.0).contains(&bounds.quota_overage) {
            return reject("bounds.quota_overage", "must be between 0 and 10");
        }
        if !(0.0..=1e12).contains(&bounds.quota_slack) {
            return reject("bounds.quota_slack", "must be between 0 and 1e12");
        }
        if !(0.0..=1e6).contains(&bounds.retry_budget_extra) {
            return reject("bounds.retry_budget_extra", "must be between 0 and 1000000");
        }
        if !(self.node.link_mbps.is_finite() && self.node.link_mbps > 0.0) {
            return reject("node.link_mbps", "must be above 0");
        }
        if self.node.memory_mb.is_some_and(|memory_mb| memory_mb < MIN_MEMORY_MB) {
            return reject("node.memory_mb", "must be at least 64");
        }
        if let Some((field, reason)) = self.feed.find_invalid() {
            return reject(field, reason);
        }
        if !(0.0..=1.0).contains(&bounds.retry_budget_ratio) {
            return reject("bounds.retry_budget_ratio", "must be between 0 and 1");
        }
        Ok(())
    }
}
