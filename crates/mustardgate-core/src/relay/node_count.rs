//! Number of nodes that share what is limited for all of them together.

use std::time::{Duration, Instant};

/// Time for which a larger number of nodes is remembered: at least this, and at most twice as long.
const COUNT_MEMORY: Duration = Duration::from_secs(30);

/// Number of nodes as this process knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCount {
    /// Largest number of the last while, or 0 if it is not known.
    pub nodes: u32,
    /// Time since the first leader told this process a number.
    pub known_for: Duration,
}

impl NodeCount {
    /// Returns the number if one is known for at least this time, so that a new leader has heard of all nodes; else 0.
    pub fn settled(self, time: Duration) -> u32 {
        if self.known_for < time { 0 } else { self.nodes }
    }
}

/// Remembers the numbers of nodes that leaders tell.
///
/// A new leader knows only the nodes that have called it, and a leader that is cut off only those on its side, so the
/// largest number of the last while counts.
#[derive(Debug, Default)]
pub struct NodeCountHistory {
    known_since: Option<Instant>,
    period_since: Option<Instant>,
    current: u32,
    previous: u32,
}

impl NodeCountHistory {
    /// Records the number of nodes according to the leader.
    pub fn record(&mut self, now: Instant, nodes: u32) {
        if nodes > 0 {
            self.known_since.get_or_insert(now);
        }
        let is_over = |since: Instant| now.saturating_duration_since(since) >= COUNT_MEMORY;
        if self.period_since.is_none_or(is_over) {
            self.previous = self.current;
            self.current = 0;
            self.period_since = Some(now);
        }
        self.current = self.current.max(nodes);
    }

    /// Returns the largest number of nodes of the last while.
    pub fn largest(&self, now: Instant) -> NodeCount {
        let known_for = self.known_since.map(|since| now.saturating_duration_since(since));
        NodeCount {
            nodes: self.current.max(self.previous),
            known_for: known_for.unwrap_or_default(),
        }
    }
}
