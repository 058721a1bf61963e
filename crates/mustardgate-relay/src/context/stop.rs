//! The planned stop of this node, and what it needs to know of requests to decide which of them it still passes on.

use std::{
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

use mustardgate_core::relay::{AnswerTimes, GraceQuery, StopSchedule};
use smol_str::SmolStr;

/// Holds the times of a planned stop once it has begun, and the times that answers took before it.
///
/// Times are those of the clock that counts suspensions.
#[derive(Debug, Default)]
pub struct StopGuard {
    schedule: OnceLock<StopSchedule>,
    times: Mutex<AnswerTimes>,
}

impl StopGuard {
    /// Begins the stop; a second signal changes nothing.
    pub fn begin(&self, schedule: StopSchedule) {
        self.schedule.get_or_init(|| schedule);
    }

    /// Records how long a request took from its receipt to the end of its answer.
    pub fn record_answer(&self, now: Instant, route: &SmolStr, read_at: Instant) {
        let time = now.saturating_duration_since(read_at);
        self.times
            .lock()
            .expect("no holder of the lock panics")
            .record(now, route, time);
    }

    /// Returns the longest time that requests of a route took of late.
    pub fn usual_time(&self, now: Instant, route: &SmolStr) -> Option<Duration> {
        self.times
            .lock()
            .expect("no holder of the lock panics")
            .longest(now, route)
    }

    /// Returns whether a request may be passed on; always before a stop.
    pub fn admits(&self, now: Instant, query: &GraceQuery) -> bool {
        self.schedule.get().is_none_or(|schedule| schedule.admits(now, query))
    }

    /// Returns the time until requests in flight are ended, or `None` before a stop.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        self.schedule.get().map(|schedule| schedule.time_left(now))
    }
}
