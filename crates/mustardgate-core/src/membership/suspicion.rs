//! When the silence of a node becomes a suspicion.

use std::{
    collections::BTreeMap,
    fmt::Debug,
    time::{Duration, Instant},
};

use crate::ids::NodeId;

/// Decides from when on a silent node is suspected. A suspicion is local and never proves a death.
pub trait SuspicionPolicy: Debug + Send {
    /// Takes in a heartbeat of a node.
    fn heartbeat(&mut self, node: &NodeId, now: Instant);

    /// Forgets a node that is no longer listed.
    fn forget(&mut self, node: &NodeId);

    /// Returns the time from which a node is suspected unless it is heard before, or `None` when it was never heard.
    fn suspected_from(&self, node: &NodeId) -> Option<Instant>;
}

/// Returns the policy that nodes use unless told otherwise.
pub fn default_suspicion() -> Box<dyn SuspicionPolicy> {
    Box::new(FixedTimeout::new(FixedTimeout::DEFAULT_TIMEOUT))
}

/// Suspects a node after a fixed silence.
#[derive(Debug)]
pub struct FixedTimeout {
    timeout: Duration,
    last_heard: BTreeMap<NodeId, Instant>,
}

impl FixedTimeout {
    /// Silence after which a node is suspected by default.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(4);

    /// Creates the policy for one timeout.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            last_heard: BTreeMap::new(),
        }
    }
}

impl SuspicionPolicy for FixedTimeout {
    fn heartbeat(&mut self, node: &NodeId, now: Instant) {
        self.last_heard.insert(node.clone(), now);
    }

    fn forget(&mut self, node: &NodeId) {
        self.last_heard.remove(node);
    }

    fn suspected_from(&self, node: &NodeId) -> Option<Instant> {
        self.last_heard.get(node).map(|heard| *heard + self.timeout)
    }
}

/// Suspects a node after a silence that follows the mean and the deviation of its own heartbeats' intervals.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    deviations: f64,
    floor: Duration,
    channels: BTreeMap<NodeId, ChannelEstimate>,
}

/// Running mean and mean deviation of the intervals of one channel.
#[derive(Clone, Copy, Debug)]
struct ChannelEstimate {
    last_heard: Instant,
    mean_s: f64,
    deviation_s: f64,
    intervals: u64,
}

impl AdaptiveTimeout {
    /// Share of each new interval in the running mean.
    const MEAN_GAIN: f64 = 0.125;
    /// Share of each new interval in the running deviation.
    const DEVIATION_GAIN: f64 = 0.25;
    /// Intervals before which the floor is doubled, because the estimate is not settled.
    const SETTLING_INTERVALS: u64 = 8;

    /// Creates the policy: a timeout is the mean plus `deviations` times the deviation, and at least `floor`.
    pub fn new(deviations: f64, floor: Duration) -> Self {
        Self {
            deviations,
            floor,
            channels: BTreeMap::new(),
        }
    }

    fn timeout(&self, estimate: &ChannelEstimate) -> Duration {
        if estimate.intervals < Self::SETTLING_INTERVALS {
            return self.floor * 2;
        }
        let adapted = estimate.mean_s + self.deviations * estimate.deviation_s;
        self.floor.max(Duration::from_secs_f64(adapted))
    }
}

impl ChannelEstimate {
    fn new(now: Instant) -> Self {
        Self {
            last_heard: now,
            mean_s: 0.0,
            deviation_s: 0.0,
            intervals: 0,
        }
    }

    fn heartbeat(&mut self, now: Instant) {
        let interval_s = now.saturating_duration_since(self.last_heard).as_secs_f64();
        self.last_heard = now;
        self.intervals += 1;
        if self.intervals == 1 {
            self.mean_s = interval_s;
            return;
        }
        let error_s = interval_s - self.mean_s;
        self.mean_s += AdaptiveTimeout::MEAN_GAIN * error_s;
        self.deviation_s += AdaptiveTimeout::DEVIATION_GAIN * (error_s.abs() - self.deviation_s);
    }
}

impl SuspicionPolicy for AdaptiveTimeout {
    fn heartbeat(&mut self, node: &NodeId, now: Instant) {
        match self.channels.get_mut(node) {
            Some(estimate) => estimate.heartbeat(now),
            None => {
                self.channels.insert(node.clone(), ChannelEstimate::new(now));
            }
        }
    }

    fn forget(&mut self, node: &NodeId) {
        self.channels.remove(node);
    }

    fn suspected_from(&self, node: &NodeId) -> Option<Instant> {
        let estimate = self.channels.get(node)?;
        Some(estimate.last_heard + self.timeout(estimate))
    }
}
