//! Load of a runner: lagged reports of all requests combined with this node's exact count.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

const HISTORY_MS: u64 = 5_000;
const HISTORY_ENTRIES: usize = 512;
const REPORT_EXPIRY_MS: u64 = 5_000;
const REPORT_MEMORY_S: f64 = 1.0;
const MEAN_MEMORY_S: f64 = 10.0;

/// A runner's report of its load, through whichever node read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Time at which the figures held, as well as it is known.
    pub measured_at: Instant,
    /// Requests in the running batch and waiting, of all nodes together.
    pub outstanding: u32,
}

/// Requests out at one runner.
#[derive(Debug, Default)]
pub(super) struct LoadEstimate {
    own: u32,
    others: f64,
    others_mean: f64,
    others_at: Option<Instant>,
    history: VecDeque<OwnCount>,
}

#[derive(Clone, Copy, Debug)]
struct OwnCount {
    at: Instant,
    count: u32,
}

impl LoadEstimate {
    /// Returns the estimate of all requests out; reports that are too old count no longer.
    ///
    /// What a report says about others loses its value within about a second, so the estimate goes from the report
    /// towards the mean of past reports. Otherwise a lagging peak keeps a runner shut, and a lagging trough draws
    /// everyone to it. The mean is longer than any lag to be expected: a mean about as long as the lag swings with the load
    /// that it causes itself.
    pub(super) fn total(&self, now: Instant) -> u32 {
        let Some(at) = self.others_at else {
            return self.own;
        };
        let age = now.saturating_duration_since(at);
        if age > Duration::from_millis(REPORT_EXPIRY_MS) {
            return self.own;
        }
        let trust = (-age.as_secs_f64() / REPORT_MEMORY_S).exp();
        let others = self.others_mean + (self.others - self.others_mean) * trust;
        self.own + others.round() as u32
    }

    pub(super) fn begin(&mut self, now: Instant) {
        self.own += 1;
        self.remember(now);
    }

    /// Returns `false` when nothing was out, which is a fault of the caller.
    pub(super) fn end(&mut self, now: Instant) -> bool {
        let Some(own) = self.own.checked_sub(1) else {
            return false;
        };
        self.own = own;
        self.remember(now);
        true
    }

    /// Ends a request at an unknown time, taken to be that of the last change.
    pub(super) fn abandon(&mut self) {
        if let Some(last) = self.history.back().map(|entry| entry.at) {
            self.end(last);
        }
    }

    /// Takes a report unless a newer one is known: what it counts beyond this node's requests belongs to others.
    pub(super) fn apply_report(&mut self, report: LoadReport) {
        if self.others_at.is_some_and(|at| at > report.measured_at) {
            return;
        }
        let own_then = self.own_at(report.measured_at);
        self.others = f64::from(report.outstanding.saturating_sub(own_then));
        self.others_mean = match self.others_at {
            Some(at) => {
                let elapsed_s = report.measured_at.duration_since(at).as_secs_f64();
                let weight = 1.0 - (-elapsed_s / MEAN_MEMORY_S).exp();
                self.others_mean + (self.others - self.others_mean) * weight
            }
            None => self.others,
        };
        self.others_at = Some(report.measured_at);
    }

    fn own_at(&self, at: Instant) -> u32 {
        self.history
            .iter()
            .rev()
            .find(|entry| entry.at <= at)
            .map_or(0, |entry| entry.count)
    }

    fn remember(&mut self, now: Instant) {
        self.history.push_back(OwnCount {
            at: now,
            count: self.own,
        });
        let oldest = now.checked_sub(Duration::from_millis(HISTORY_MS));
        // The newest entry before the window stays, because it says what held at the window's start.
        while self.history.len() > HISTORY_ENTRIES
            || (self.history.len() > 1 && oldest.is_some_and(|oldest| self.history[1].at < oldest))
        {
            self.history.pop_front();
        }
    }
}
