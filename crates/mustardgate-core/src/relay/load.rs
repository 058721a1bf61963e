//! Load of one runner as one node sees it.

use std::time::{Duration, Instant};

/// Time after which a reported figure no longer says anything.
const REPORT_MEMORY: Duration = Duration::from_millis(1_500);

/// Load that a runner states in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run at once at most.
    pub slots: u32,
}

/// Own requests in flight at a runner, and those of other nodes as last reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadFigure {
    own: u32,
    others: f64,
    reported_at: Option<Instant>,
}

impl LoadFigure {
    /// Counts a request that goes out.
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

    /// Takes a stated load, which includes this node's own requests.
    pub fn report(&mut self, now: Instant, load: ReportedLoad) {
        let total = load.running + load.waiting;
        self.others = f64::from(total.saturating_sub(self.own));
        self.reported_at = Some(now);
    }

    /// Returns the requests expected at the runner: own ones exactly, those of others fading with the report's age.
    pub fn expected(&self, now: Instant) -> f64 {
        let age_s = self
            .reported_at
            .map(|at| now.saturating_duration_since(at).as_secs_f64());
        let fade = age_s.map_or(0.0, |age_s| (-age_s / REPORT_MEMORY.as_secs_f64()).exp());
        f64::from(self.own) + self.others * fade
    }
}
