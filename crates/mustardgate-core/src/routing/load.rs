//! Load of a runner: its delayed reports of all requests combined with the exact count of this node's requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

const HISTORY_MS: u64 = 5_000;
const HISTORY_ENTRIES: usize = 512;
const REPORT_EXPIRY_MS: u64 = 5_000;
const REPORT_TIME_CONSTANT_S: f64 = 1.0;
const MEAN_TIME_CONSTANT_S: f64 = 10.0;

/// A runner's report of its load, whichever node read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Best estimate of the time at which the runner counted its requests.
    pub measured_at: Instant,
    /// Requests of all nodes that are in the running batch or waiting.
    pub outstanding: u32,
}

/// Estimate of the requests in flight at one runner: this node's own, and those of the other nodes.
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
    /// Returns the estimated number of all requests in flight, without those of other nodes once the report is too old.
    ///
    /// What a report says about other nodes is outdated within about a second, so with its age the estimate moves from
    /// the report towards the mean of past reports. Otherwise an outdated peak keeps all traffic away from a runner,
    /// and an outdated trough attracts that of every node. The mean covers more time than any expected delay of
    /// reports: a mean over about that delay oscillates with the load that it causes itself.
    pub(super) fn total(&self, now: Instant) -> u32 {
        let Some(at) = self.others_at else {
            return self.own;
        };
        let age = now.saturating_duration_since(at);
        if age > Duration::from_millis(REPORT_EXPIRY_MS) {
            return self.own;
        }
        let report_weight = (-age.as_secs_f64() / REPORT_TIME_CONSTANT_S).exp();
        let others = self.others_mean + (self.others - self.others_mean) * report_weight;
        self.own + others.round() as u32
    }

    pub(super) fn begin(&mut self, now: Instant) {
        self.own += 1;
        self.record_count(now);
    }

    /// Returns `false` when no request was in flight, which is a bug of the calling code.
    pub(super) fn end(&mut self, now: Instant) -> bool {
        let Some(own) = self.own.checked_sub(1) else {
            return false;
        };
        self.own = own;
        self.record_count(now);
        true
    }

    /// Ends a request at an unknown time, for which the time of the last change is used.
    pub(super) fn abandon(&mut self) {
        if let Some(last) = self.history.back().map(|entry| entry.at) {
            self.end(last);
        }
    }

    /// Applies a report unless a newer one is known: what it counts beyond this node's requests is that of other nodes.
    pub(super) fn apply_report(&mut self, report: LoadReport) {
        if self.others_at.is_some_and(|at| at > report.measured_at) {
            return;
        }
        let own_at_report = self.own_at(report.measured_at);
        self.others = f64::from(report.outstanding.saturating_sub(own_at_report));
        self.others_mean = match self.others_at {
            Some(at) => {
                let elapsed_s = report.measured_at.duration_since(at).as_secs_f64();
                let weight = 1.0 - (-elapsed_s / MEAN_TIME_CONSTANT_S).exp();
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

    fn record_count(&mut self, now: Instant) {
        self.history.push_back(OwnCount {
            at: now,
            count: self.own,
        });
        let oldest = now.checked_sub(Duration::from_millis(HISTORY_MS));
        // The newest entry before the window stays, because it is the count at the start of the window.
        while self.history.len() > HISTORY_ENTRIES
            || (self.history.len() > 1 && oldest.is_some_and(|oldest| self.history[1].at < oldest))
        {
            self.history.pop_front();
        }
    }
}
