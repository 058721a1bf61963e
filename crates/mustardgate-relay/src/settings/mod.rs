//! Settings of a relay node, read from one TOML file and checked as a whole.
//!
//! `docs/SETTINGS.md`, "Relay nodes", describes each of them.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use mustardgate::settings::LoggingSettings;
use mustardgate_core::ids::{DomainId, NodeId, RegionId};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// Settings of a relay node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RelaySettings {
    /// Who the node is and where it stands.
    pub node: PlaceSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The platform's log.
    pub log: LogSettings,
    /// Bounds that the deployment states.
    pub bounds: BoundSettings,
    /// Log lines.
    #[serde(default)]
    pub logging: LogLineSettings,
}

/// Who the node is and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct PlaceSettings {
    /// Name of the node.
    pub name: NodeId,
    /// Failure domain.
    pub domain: DomainId,
    /// Region.
    pub region: RegionId,
    /// File descriptors that the process may use.
    pub max_descriptors: u64,
}

/// Addresses of the listeners.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ListenSettings {
    /// Callers.
    pub callers: SocketAddr,
    /// Questions whether the node is ready; may be the callers' address.
    pub readiness: SocketAddr,
    /// Other nodes, and metrics.
    pub peers: Option<SocketAddr>,
    /// Peer addresses of a few nodes, for a start while the log is away.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The platform's log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LogSettings {
    /// Address of the log.
    pub address: SocketAddr,
}

/// Bounds that the deployment states.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct BoundSettings {
    /// Time within which a change of the configuration must be in force, in milliseconds.
    pub config_apply_ms: u64,
    /// Time after which a leaving runner must get no new work, in milliseconds.
    pub drain_ms: u64,
    /// Time of undisturbed contact after which the bounds hold, in milliseconds.
    pub contact_ms: u64,
    /// Time from a stop signal to the end of the process, in seconds.
    pub grace_s: f64,
    /// Retries for each request, over all nodes.
    pub retry_budget_ratio: f64,
    /// Retries allowed in a window whatever the number of requests, over all nodes.
    pub retry_budget_extra: f64,
    /// Window of the retry budget, in seconds.
    pub budget_window_s: f64,
    /// Time within which the holder of a lease may not change twice, in milliseconds.
    pub lease_ms: u64,
    /// Window in which loads from the weight store are counted, in seconds.
    pub load_window_s: f64,
    /// Factor on the weight store's rate within that window.
    pub load_overage: f64,
    /// Loads beyond that within the window.
    pub load_extra: f64,
    /// Whether runners refuse orders with an old number.
    pub require_fencing: bool,
}

impl BoundSettings {
    /// Returns the shortest time within which a change must be taken up.
    pub fn shortest_bound(&self) -> Duration {
        Duration::from_millis(self.config_apply_ms.min(self.drain_ms))
    }

    /// Returns the time for which a lease is held.
    pub fn lease_term(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the time from a stop signal to the end of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

/// Log lines of a relay node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct LogLineSettings {
    /// Lines a second that a node writes about requests; further ones are counted.
    pub request_lines_per_s: u32,
    /// One in this many requests that went well is written.
    pub sample_one_in: u64,
    /// Whether debug events are written too.
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

/// Why settings were refused.
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
    /// The file is no TOML, or a field is missing or of another type.
    #[snafu(display("{path}: {reason}"))]
    Malformed {
        /// Path of the file.
        path: String,
        /// What the parser says, with the name of the field.
        reason: String,
    },
    /// A value is out of its range.
    #[snafu(display("{field}: {reason}"))]
    OutOfRange {
        /// Field at fault.
        field: &'static str,
        /// What is wrong.
        reason: String,
    },
}

impl RelaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`RelaySettingsError`] with the field at fault.
    pub fn load(path: &Path) -> Result<Self, RelaySettingsError> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).context(UnreadableSnafu { path: name.clone() })?;
        Self::parse(&text).map_err(|error| match error {
            RelaySettingsError::Malformed { reason, .. } => RelaySettingsError::Malformed { path: name, reason },
            other => other,
        })
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// [`RelaySettingsError`] with the field at fault.
    pub fn parse(text: &str) -> Result<Self, RelaySettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| RelaySettingsError::Malformed {
            path: "settings".to_owned(),
            reason: error.to_string(),
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), RelaySettingsError> {
        let refuse = |field, reason: &str| {
            Err(RelaySettingsError::OutOfRange {
                field,
                reason: reason.to_owned(),
            })
        };
        if self.node.name.is_empty() {
            return refuse("node.name", "must not be empty");
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
            return refuse(field, "must be above 0");
        }
        let is_time = |value: f64| value.is_finite() && value > 0.0 && value < 86_400.0;
        if !is_time(bounds.grace_s) {
            return refuse("bounds.grace_s", "must be above 0 and below a day");
        }
        if !is_time(bounds.budget_window_s) {
            return refuse("bounds.budget_window_s", "must be above 0 and below a day");
        }
        if !is_time(bounds.load_window_s) {
            return refuse("bounds.load_window_s", "must be above 0 and below a day");
        }
        if !(0.0..=100.0).contains(&bounds.load_overage) || !(0.0..=1_000.0).contains(&bounds.load_extra) {
            return refuse(
                "bounds.load_overage",
                "must lie from 0 to 100, and load_extra from 0 to 1000",
            );
        }
        if !(0.0..=1e6).contains(&bounds.retry_budget_extra) {
            return refuse("bounds.retry_budget_extra", "must lie from 0 to a million");
        }
        if !(0.0..=1.0).contains(&bounds.retry_budget_ratio) {
            return refuse("bounds.retry_budget_ratio", "must lie from 0 to 1");
        }
        Ok(())
    }
}
