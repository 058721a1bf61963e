//! Estimate of the load of one runner from the newest statement that any node has seen.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::super::load::ReportedLoad;

/// Time constant over which the change of other nodes' requests is averaged.
const DRIFT_TIME: Duration = Duration::from_secs(1);
/// Time constant after which that change is no longer continued: the load that nodes see turns their choices.
const DRIFT_HORIZON: Duration = Duration::from_millis(500);
/// Time for which the number of own requests is remembered. Statements that come through the leader are younger.
const HISTORY_TIME: Duration = Duration::from_secs(4);
/// Largest number of remembered changes. A node that sends faster sees statements of its own that are younger still.
const MAX_HISTORY: usize = 64;

/// What nodes know together of the load of one runner, expected now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerLoadView {
    /// Running requests, including those that this node has sent since the newest statement.
    pub running: f64,
    /// Waiting requests, as above.
    pub waiting: f64,
    /// Largest number of requests that run at once.
    pub slots: f64,
    /// How long work takes there relative to the usual time; `None` if the runner does not state it.
    pub pace: Option<f64>,
    /// Time since the newest statement.
    pub age: Duration,
}

/// Estimates a runner's load between its statements: it counts what this node sends and ends, and continues the change of
/// other nodes' requests.
#[derive(Clone, Debug, Default)]
pub struct SharedLoadEstimate {
    own: u32,
    /// Own requests after each of the last changes, oldest first, and those before the first of them.
    history: VecDeque<(Instant, u32)>,
    own_before: u32,
    newest: Option<(ReportedLoad, Instant)>,
    /// Change of other nodes' requests in requests a second.
    drift_per_s: f64,
}

impl SharedLoadEstimate {
    /// Counts a request that is sent.
    pub fn begin(&mut self, now: Instant) {
        self.set_own(now, self.own + 1);
    }

    /// Counts a request that has ended.
    pub fn end(&mut self, now: Instant) {
        self.set_own(now, self.own.saturating_sub(1));
    }

    /// Takes over a statement made at `at`; returns whether it is newer than the one known.
    pub fn state(&mut self, at: Instant, load: ReportedLoad) -> bool {
        if let Some((known, known_at)) = self.newest {
            let Some(time) = at.checked_duration_since(known_at).filter(|time| !time.is_zero()) else {
                return false;
            };
            let change = self.others(load, at) - self.others(known, known_at);
            let weight = 1.0 - (-time.as_secs_f64() / DRIFT_TIME.as_secs_f64()).exp();
            self.drift_per_s += weight * (change / time.as_secs_f64() - self.drift_per_s);
        }
        self.newest = Some((load, at));
        true
    }

    /// Makes what is known older by a time in which the machine was suspended, which the clock does not count.
    pub fn add_age(&mut self, time: Duration) {
        if let Some((_, at)) = &mut self.newest {
            *at = at.checked_sub(time).unwrap_or(*at);
        }
    }

    /// Returns whether the runner states its pace.
    pub fn is_paced(&self) -> bool {
        self.newest.is_some_and(|(load, _)| load.pace.is_some())
    }

    /// Returns the newest statement and when it was made.
    pub fn newest(&self) -> Option<(ReportedLoad, Instant)> {
        self.newest
    }

    /// Returns the load expected now; `None` before the first statement.
    pub fn view(&self, now: Instant) -> Option<RunnerLoadView> {
        let (load, at) = self.newest?;
        let age = now.saturating_duration_since(at);
        let horizon_s = DRIFT_HORIZON.as_secs_f64();
        let drift = self.drift_per_s * horizon_s * (1.0 - (-age.as_secs_f64() / horizon_s).exp());
        let expected = f64::from(self.own) + (self.others(load, at) + drift).max(0.0);
        let slots = f64::from(load.slots);
        // A runner at which requests wait beside free slots is short of memory, so more requests wait as well.
        let room = if load.waiting > 0 {
            f64::from(load.running)
        } else {
            slots
        };
        let running = expected.min(room);
        Some(RunnerLoadView {
            running,
            waiting: expected - running,
            slots,
            pace: load.pace,
            age,
        })
    }

    fn set_own(&mut self, now: Instant, own: u32) {
        self.own = own;
        self.history.push_back((now, own));
        while let Some(&(at, oldest)) = self.history.front() {
            if self.history.len() <= MAX_HISTORY && now.saturating_duration_since(at) <= HISTORY_TIME {
                break;
            }
            self.own_before = oldest;
            self.history.pop_front();
        }
    }

    /// Returns the requests of other nodes in a statement made at `at`.
    fn others(&self, load: ReportedLoad, at: Instant) -> f64 {
        let earlier = self.history.iter().rev().find(|(changed_at, _)| *changed_at <= at);
        let own = earlier.map_or(self.own_before, |(_, own)| *own);
        (f64::from(load.running) + f64::from(load.waiting) - f64::from(own)).max(0.0)
    }
}
