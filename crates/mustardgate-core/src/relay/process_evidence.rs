//! Whether the process that answers at a runner's address is certainly the listed one.
//!
//! A runner may start again under its identity and address with another software version, and the list shows that late. See
//! `docs/design/stream-versions.md`.

use std::time::{Duration, Instant};

/// Time for which a confirmed process needs no new confirmation while the list of runners cannot be read.
const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(1);

/// What a node knows of the process at a runner's address when it opens a connection there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessEvidence {
    /// Whether another connection to the confirmed process is still open, which a restart would have closed.
    pub has_open_connection: bool,
    /// Whether a connection broke since the process was confirmed.
    pub has_lost: bool,
    /// Whether the list of runners cannot be read.
    pub is_list_away: bool,
    /// When the process was last confirmed.
    pub confirmed_at: Option<Instant>,
}

impl ProcessEvidence {
    /// Returns whether a new connection certainly leads to the confirmed process. Without that the process has to be asked.
    pub fn is_sufficient(&self, now: Instant) -> bool {
        if !self.has_open_connection || self.has_lost {
            return false;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CONFIRMATION_VALIDITY;
        !self.is_list_away || self.confirmed_at.is_some_and(is_recent)
    }
}
