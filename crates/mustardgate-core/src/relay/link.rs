//! Whether a node reaches the runners over its own connections.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::BackendId;

/// Number of runners that must fail before the link itself is suspected; a single one may have failed alone.
const MIN_FAILED_RUNNERS: usize = 2;
/// Time for which a failed connection counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);
/// Time without a byte from any runner, while answers are awaited, after which the link is suspected. A single sound
/// runner may be silent for longer.
const SILENCE_LIMIT: Duration = Duration::from_millis(400);
/// Shortest time between a check that found the link sound and the next one, after failures and after silence.
const FAILURE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Runners that must answer in a row before a link counts as restored.
const RESTORING_ANSWERS: u32 = 2;
/// Time over which requests return to own connections after the link was restored, because new connections are costly.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// Decides from the outcomes of own connections whether the link to all runners is cut.
///
/// A suspicion is only a reason to check: the link counts as cut once several runners, of other services where there are
/// any, did not answer. See `docs/design/cut-off-nodes.md`.
#[derive(Clone, Debug, Default)]
pub struct LinkMonitor {
    /// Runners to which new connections failed since one succeeded, and when.
    failed: BTreeMap<BackendId, Instant>,
    last_contact: Option<Instant>,
    /// Answers and events that are awaited, and since when there is any.
    awaited: u32,
    awaited_since: Option<Instant>,
    checked_at: Option<Instant>,
    is_cut: bool,
    restoring_answers: u32,
    restored_at: Option<Instant>,
}

impl LinkMonitor {
    /// Records that an answer is awaited from a runner.
    pub fn begin_wait(&mut self, now: Instant) {
        if self.awaited == 0 {
            self.awaited_since = Some(now);
        }
        self.awaited += 1;
    }

    /// Records that it is awaited no more.
    pub fn end_wait(&mut self) {
        self.awaited = self.awaited.saturating_sub(1);
    }

    /// Records bytes from a runner. They say nothing about new connections if they came over an old one.
    pub fn record_contact(&mut self, now: Instant, is_new_connection: bool) {
        self.last_contact = Some(now);
        if is_new_connection {
            self.failed.clear();
        }
    }

    /// Records that no connection to a runner could be established, or that it broke unanswered.
    pub fn record_failure(&mut self, now: Instant, runner: &BackendId) {
        self.failed
            .retain(|_, at| now.saturating_duration_since(*at) < FAILURE_WINDOW);
        self.failed.insert(runner.clone(), now);
    }

    /// Returns whether the link should be checked now.
    pub fn needs_check(&self, now: Instant) -> bool {
        if self.is_cut {
            return false;
        }
        let age = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let is_older = |at: Option<Instant>, limit: Duration| age(at).is_none_or(|age| age >= limit);
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < FAILURE_WINDOW;
        let has_failures = self.failed.values().filter(is_recent).count() >= MIN_FAILED_RUNNERS;
        let is_silent = self.awaited > 0
            && is_older(self.awaited_since, SILENCE_LIMIT)
            && is_older(self.last_contact, SILENCE_LIMIT);
        (has_failures && is_older(self.checked_at, FAILURE_CHECK_INTERVAL))
            || (is_silent && is_older(self.checked_at, SILENCE_CHECK_INTERVAL))
    }

    /// Returns the runners to which new connections failed lately.
    pub fn failed_runners(&self) -> impl Iterator<Item = &BackendId> {
        self.failed.keys()
    }

    /// Records how many of the runners that were asked have answered; returns whether the link is cut by that.
    pub fn record_check(&mut self, now: Instant, asked: usize, answered: usize) -> bool {
        if self.is_cut || asked == 0 {
            return false;
        }
        self.checked_at = Some(now);
        if answered > 0 {
            self.record_contact(now, true);
            return false;
        }
        self.is_cut = true;
        self.restoring_answers = 0;
        self.restored_at = None;
        true
    }

    /// Records whether a runner answered while the link is cut; returns whether the link is restored by that.
    pub fn record_probe(&mut self, now: Instant, is_answered: bool) -> bool {
        if !self.is_cut {
            return false;
        }
        self.restoring_answers = if is_answered { self.restoring_answers + 1 } else { 0 };
        if self.restoring_answers < RESTORING_ANSWERS {
            return false;
        }
        self.is_cut = false;
        self.restored_at = Some(now);
        self.checked_at = Some(now);
        self.record_contact(now, true);
        true
    }

    /// Returns whether the link is cut.
    pub fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns whether a request should go through another node; `draw` is a random number in 0..1.
    pub fn uses_neighbours(&self, now: Instant, draw: f64) -> bool {
        let returned_share = self.restored_at.map_or(1.0, |at| {
            now.saturating_duration_since(at).as_secs_f64() / RETURN_TIME.as_secs_f64()
        });
        self.is_cut || draw >= returned_share
    }
}
