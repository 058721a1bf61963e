//! Settings of the limit on bytes for other nodes.

use std::time::Duration;

use mustardgate_core::relay::FeedLimits;
use serde::Deserialize;

/// Bytes per second in one megabit per second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Part of a term for which a node with a very narrow link leaves a vacant lease to others. Followers check the lease
/// at most a sixth of a term apart, so that a node with a wide link that is alive claims first.
const MAX_CLAIM_DELAY_SHARE: f64 = 0.25;

/// Time in seconds whose share of the link may be filled at once with what nodes tell each other.
const KNOWLEDGE_BURST_S: f64 = 0.25;

/// Settings of the limit on bytes for other nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct FeedSettings {
    /// Part of the node's link that answers to other nodes may fill.
    pub link_share: f64,
    /// Part of the node's link that what nodes tell each other of runners, crashes and nodes may fill in one direction.
    pub knowledge_share: f64,
    /// Time of the link that answers may fill at once, in milliseconds; it delays other traffic for that long.
    pub burst_ms: f64,
    /// Longest delay of an answer, as a part of the shortest bound on taking up a change.
    pub delay_share: f64,
    /// Capacity of a link from which on its node claims a vacant lease at once, in megabits per second.
    pub leader_link_mbps: f64,
}

impl Default for FeedSettings {
    fn default() -> Self {
        Self {
            link_share: 0.4,
            knowledge_share: 0.2,
            burst_ms: 50.0,
            delay_share: 0.1,
            leader_link_mbps: 100.0,
        }
    }
}

impl FeedSettings {
    /// Returns the limits of a node with a link of `link_mbps` megabits per second.
    pub fn limits(&self, link_mbps: f64, shortest_bound: Duration) -> FeedLimits {
        let link_bytes_per_s = link_bytes_per_s(link_mbps);
        FeedLimits {
            bytes_per_s: link_bytes_per_s * self.link_share,
            burst_bytes: link_bytes_per_s * self.burst_ms / 1_000.0,
            max_delay: shortest_bound.mul_f64(self.delay_share),
        }
    }

    /// Returns the limits on what a node with a link of `link_mbps` tells others beside records of the log.
    pub fn knowledge_limits(&self, link_mbps: f64) -> FeedLimits {
        let link_bytes_per_s = link_bytes_per_s(link_mbps);
        FeedLimits {
            bytes_per_s: link_bytes_per_s * self.knowledge_share,
            burst_bytes: link_bytes_per_s * self.knowledge_share * KNOWLEDGE_BURST_S,
            max_delay: Duration::ZERO,
        }
    }

    /// Returns how long a node with a link of `link_mbps` leaves a vacant lease with the given term to nodes with wider
    /// links. The leader sends every change to all nodes; where its link is too narrow, they read the log themselves.
    pub fn claim_delay(&self, link_mbps: f64, term: Duration) -> Duration {
        let width = (link_mbps / self.leader_link_mbps).clamp(0.0, 1.0);
        term.mul_f64(MAX_CLAIM_DELAY_SHARE * (1.0 - width.sqrt()))
    }

    /// Returns the first invalid field with what is wrong with it.
    pub(super) fn find_invalid(&self) -> Option<(&'static str, &'static str)> {
        if !(self.link_share > 0.0 && self.link_share <= 1.0) {
            return Some(("feed.link_share", "must be above 0 and at most 1"));
        }
        if !(self.knowledge_share > 0.0 && self.knowledge_share <= 1.0) {
            return Some(("feed.knowledge_share", "must be above 0 and at most 1"));
        }
        if !(0.0..=1_000.0).contains(&self.burst_ms) {
            return Some(("feed.burst_ms", "must be between 0 and 1000"));
        }
        if !(0.0..=0.5).contains(&self.delay_share) {
            return Some(("feed.delay_share", "must be between 0 and 0.5"));
        }
        if !(self.leader_link_mbps.is_finite() && self.leader_link_mbps > 0.0) {
            return Some(("feed.leader_link_mbps", "must be above 0"));
        }
        None
    }
}

/// Returns the capacity of a link of `link_mbps` megabits per second in bytes per second.
pub fn link_bytes_per_s(link_mbps: f64) -> f64 {
    link_mbps * BYTES_PER_MEGABIT
}
