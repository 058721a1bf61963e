//! Policies that decide when a silent node is suspected.

use std::{
    collections::BTreeMap,
    fmt::Debug,
    time::{Duration, Instant},
};

use crate::ids::NodeId;

/// Decides when a silent node becomes suspected. A suspicion is local and never proves that the node is dead.
pub trait SuspicionPolicy: Debug + Send {
    /// Records a heartbeat of a node.
    fn heartbeat(&mut self, node: &NodeId, now: Instant);

    /// Forgets a node that is no longer listed.
    fn forget(&mut self, node: &NodeId);

    /// Returns the time from which a node is suspected without another heartbeat, or `None` when it never sent one.
    fn suspected_from(&self, node: &NodeId) -> Option<Instant>;
}

/// Returns the default policy of nodes.
pub fn default_suspicion() -> Box<dyn SuspicionPolicy> {
    Box::new(FixedTimeout::new(FixedTimeout::DEFAULT_TIMEOUT))
}

/// Suspects a node after a fixed silence.
#[derive(Debug)]
pub struct FixedTimeout {
    timeout: Duration,
    last_heartbeat_at: BTreeMap<NodeId, Instant>,
}

impl FixedTimeout {
    /// Silence after which a node is suspected by default.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(4);

    /// Creates the policy for one timeout.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            last_heartbeat_at: BTreeMap::new(),
        }
    }
}

impl SuspicionPolicy for FixedTimeout {
    fn heartbeat(&mut self, node: &NodeId, now: Instant) {
        self.last_heartbeat_at.insert(node.clone(), now);
    }

    fn forget(&mut self, node: &NodeId) {
        self.last_heartbeat_at.remove(node);
    }

    fn suspected_from(&self, node: &NodeId) -> Option<Instant> {
        self.last_heartbeat_at.get(node).map(|at| *at + self.timeout)
    }
}

/// Suspects a node after a timeout derived from the mean and the deviation of the intervals between its heartbeats.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    deviations: f64,
    min_timeout: Duration,
    estimates: BTreeMap<NodeId, IntervalEstimate>,
}

/// Running mean and mean deviation of the intervals between one node's heartbeats.
#[derive(Clone, Copy, Debug)]
struct IntervalEstimate {
    last_heartbeat_at: Instant,
    mean_s: f64,
    deviation_s: f64,
    intervals: u64,
}

impl AdaptiveTimeout {
    /// Weight of each new interval in the running mean.
    const MEAN_GAIN: f64 = 0.125;
    /// Weight of each new interval in the running deviation.
    const DEVIATION_GAIN: f64 = 0.25;
    /// Intervals before which the timeout is twice the minimum, because the estimate has not settled.
    const SETTLING_INTERVALS: u64 = 8;

    /// Creates the policy: a timeout is the mean plus `deviations` times the deviation, and at least `min_timeout`.
    pub fn new(deviations: f64, min_timeout: Duration) -> Self {
        Self {
            deviations,
            min_timeout,
            estimates: BTreeMap::new(),
        }
    }

    fn timeout(&self, estimate: &IntervalEstimate) -> Duration {
        if estimate.intervals < Self::SETTLING_INTERVALS {
            return self.min_timeout * 2;
        }
        let adapted = estimate.mean_s + self.deviations * estimate.deviation_s;
        self.min_timeout.max(Duration::from_secs_f64(adapted))
    }
}

impl IntervalEstimate {
    fn new(now: Instant) -> Self {
        Self {
            last_heartbeat_at: now,
            mean_s: 0.0,
            deviation_s: 0.0,
            intervals: 0,
        }
    }

    fn heartbeat(&mut self, now: Instant) {
        let interval_s = now.saturating_duration_since(self.last_heartbeat_at).as_secs_f64();
        self.last_heartbeat_at = now;
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
        match self.estimates.get_mut(node) {
            Some(estimate) => estimate.heartbeat(now),
            None => {
                self.estimates.insert(node.clone(), IntervalEstimate::new(now));
            }
        }
    }

    fn forget(&mut self, node: &NodeId) {
        self.estimates.remove(node);
    }

    fn suspected_from(&self, node: &NodeId) -> Option<Instant> {
        let estimate = self.estimates.get(node)?;
        Some(estimate.last_heartbeat_at + self.timeout(estimate))
    }
}
