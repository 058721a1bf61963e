//! Settings of the membership view.

use std::time::Duration;

/// Time after the first node's list shows a backend server as leaving, within which every connected node stops giving
/// it new work.
pub const LEAVING_GRACE: Duration = Duration::from_secs(5);

/// Settings of the membership view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between heartbeats to the nodes of the own failure domain.
    pub heartbeat_interval: Duration,
    /// Time between digests to each other failure domain.
    pub digest_interval: Duration,
    /// Time for which a backend server stays marked as leaving after a list last showed it as leaving.
    pub leaving_retention: Duration,
    /// Consecutive lists without a VM after which it is removed from the view.
    pub missing_lists: u32,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            digest_interval: Duration::from_secs(2),
            leaving_retention: Duration::from_secs(600),
            missing_lists: 2,
        }
    }
}
