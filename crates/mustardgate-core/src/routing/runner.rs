//! State that a node keeps of one runner.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use snafu::Snafu;

use super::{
    limit::{ConcurrencyLimit, LimitSettings},
    load::{LoadEstimate, LoadReport},
};
use crate::{
    ids::{BackendId, DomainId, RegionId},
    log::Artifact,
};

const HOLD_WEIGHT: f64 = 0.1;
const DEFAULT_ANSWER_MS: u64 = 100;
const DEFAULT_HOLD_MS: u64 = 500;

/// A runner or an instance of a plain service, as declared and as last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerProfile {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Failure domain that it belongs to.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Maximum number of requests in one batch.
    pub max_concurrency: u32,
    /// Weights that are resident and ready; an instance of a plain service has one entry that stands for the service.
    pub ready: Vec<Artifact>,
}

/// Whether a runner takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It takes new work.
    #[default]
    Serving,
    /// It is about to stop.
    Leaving,
    /// It did not answer recently; this does not prove a failure and only keeps new work away.
    Suspected,
}

/// How an attempt at a runner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was received.
    Answered {
        /// Time from the dispatch to the first token.
        first_token: Duration,
    },
    /// The runner refused for lack of room, or the attempt timed out.
    Overloaded,
    /// The attempt failed for a reason that says nothing about load, or was cancelled.
    Failed,
}

/// An attempt ended at a runner where this node has none in flight; its outcome is not counted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no attempt is in flight at {backend}"))]
pub struct TicketError {
    /// Runner concerned.
    pub backend: BackendId,
}

/// One runner, whose state has its own lock.
#[derive(Debug)]
pub(super) struct RunnerCell {
    pub(super) profile: RunnerProfile,
    state: Arc<Mutex<RunnerState>>,
}

#[derive(Debug)]
struct RunnerState {
    availability: Availability,
    limit: ConcurrencyLimit,
    load: LoadEstimate,
    hold_s: f64,
}

/// State of one runner at one moment, read under one lock.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunnerSnapshot {
    pub(super) is_serving: bool,
    pub(super) limit: u32,
    pub(super) total: u32,
    pub(super) answer_time: Duration,
    pub(super) hold_time: Duration,
}

impl RunnerSnapshot {
    pub(super) fn has_room(&self) -> bool {
        self.is_serving && self.total < self.limit
    }

    pub(super) fn relative_load(&self) -> f64 {
        f64::from(self.total) / f64::from(self.limit.max(1))
    }
}

impl RunnerCell {
    pub(super) fn new(profile: RunnerProfile) -> Self {
        let settings = LimitSettings::for_runner(profile.max_concurrency);
        let state = RunnerState {
            availability: Availability::Serving,
            limit: ConcurrencyLimit::new(settings),
            load: LoadEstimate::default(),
            hold_s: Duration::from_millis(DEFAULT_HOLD_MS).as_secs_f64(),
        };
        Self {
            profile,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns a cell with a changed profile that shares the state, so that counts of attempts in flight stay exact.
    pub(super) fn with_profile(&self, profile: RunnerProfile) -> Self {
        if profile.max_concurrency != self.profile.max_concurrency {
            self.lock().limit = ConcurrencyLimit::new(LimitSettings::for_runner(profile.max_concurrency));
        }
        Self {
            profile,
            state: Arc::clone(&self.state),
        }
    }

    pub(super) fn set_availability(&self, availability: Availability) {
        self.lock().availability = availability;
    }

    pub(super) fn apply_report(&self, report: LoadReport) {
        self.lock().load.apply_report(report);
    }

    pub(super) fn snapshot(&self, now: Instant) -> RunnerSnapshot {
        let state = self.lock();
        RunnerSnapshot {
            is_serving: state.availability == Availability::Serving,
            limit: state.limit.current(),
            total: state.load.total(now),
            answer_time: state
                .limit
                .recent_latency()
                .unwrap_or(Duration::from_millis(DEFAULT_ANSWER_MS)),
            hold_time: Duration::from_secs_f64(state.hold_s),
        }
    }

    /// Takes one slot if the runner still serves within its limit; check and count happen under one lock.
    pub(super) fn try_begin(&self, now: Instant) -> bool {
        let mut state = self.lock();
        let has_room = state.load.total(now) < state.limit.current();
        if state.availability != Availability::Serving || !has_room {
            return false;
        }
        state.load.begin(now);
        true
    }

    pub(super) fn end(&self, now: Instant, begun_at: Instant, outcome: AttemptOutcome) -> Result<(), TicketError> {
        let mut state = self.lock();
        let in_flight = state.load.total(now);
        if !state.load.end(now) {
            return Err(TicketError {
                backend: self.profile.backend.clone(),
            });
        }
        match outcome {
            AttemptOutcome::Answered { first_token } => {
                state.limit.record_latency(first_token, in_flight);
                let held_s = now.saturating_duration_since(begun_at).as_secs_f64();
                state.hold_s += (held_s - state.hold_s) * HOLD_WEIGHT;
            }
            AttemptOutcome::Overloaded => state.limit.record_overload(),
            AttemptOutcome::Failed => {}
        }
        Ok(())
    }

    /// Releases the slot of an attempt that was dropped without an outcome.
    pub(super) fn abandon(&self) {
        self.lock().load.abandon();
    }

    fn lock(&self) -> MutexGuard<'_, RunnerState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
