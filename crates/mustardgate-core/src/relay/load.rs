//! Estimate of one runner's load by one node.

use std::time::{Duration, Instant};

/// Time constant with which the weight of a reported load decays.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(1_500);

/// Load that a runner reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Largest number of requests that run at once.
    pub slots: u32,
    /// How long work takes at the runner at the moment, relative to the usual time; 2.0 is twice as long. Stated only by
    /// runners that share their machines with others.
    pub pace: Option<f64>,
}

/// Estimates a runner's load from this node's requests in flight and those of other nodes as last reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    own: u32,
    others: f64,
    reported_at: Option<Instant>,
}

impl LoadEstimate {
    /// Counts a request that is sent.
    pub fn begin(&mut self) {
        self.own += 1;
    }

    /// Counts a request that has ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Returns this node's requests in flight.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Records a reported load, which includes this node's own requests.
    pub fn report(&mut self, now: Instant, load: ReportedLoad) {
        let total = load.running.saturating_add(load.waiting);
        self.others = f64::from(total.saturating_sub(self.own));
        self.reported_at = Some(now);
    }

    /// Returns the requests expected at the runner: an exact count of this node's, and the reported number of the other
    /// nodes', which decays with the report's age.
    pub fn expected(&self, now: Instant) -> f64 {
        let age_s = self
            .reported_at
            .map(|at| now.saturating_duration_since(at).as_secs_f64());
        let decay = age_s.map_or(0.0, |age_s| (-age_s / REPORT_DECAY_TIME.as_secs_f64()).exp());
        f64::from(self.own) + self.others * decay
    }
}
