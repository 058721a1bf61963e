//! Planned stops: which requests a node still passes on, and until when it answers them.
//!
//! A request is bound by the end of the grace period as it is by its deadline. See `docs/design/platform.md`.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use smol_str::SmolStr;

/// Time for which connections are still accepted: the load balancer checks every second and needs two answers.
const CLOSE_DELAY: Duration = Duration::from_millis(2_600);
/// Largest fraction of the grace period that [`CLOSE_DELAY`] may take.
const CLOSE_DELAY_SHARE: f64 = 0.4;
/// Time before the end of the grace period at which requests in flight are ended, so that their callers are told.
const CUT_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the grace period at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(150);
/// Largest fraction of the grace period that [`CUT_MARGIN`] may take.
const CUT_MARGIN_SHARE: f64 = 0.1;
/// Time for which answers count as recent; the time before it counts as long again.
const RECENT_WINDOW: Duration = Duration::from_secs(30);

/// Times of a planned stop.
///
/// They are those of a clock that counts suspensions, since the platform ends the process by true time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// When the listeners close.
    pub closes_at: Instant,
    /// When requests in flight are ended, each with an answer that says whether it may have run.
    pub cuts_at: Instant,
    /// When the process ends, whatever is still open.
    pub ends_at: Instant,
}

/// A request that comes in, or goes on, while the node stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GraceQuery {
    /// When the request was read completely.
    pub read_at: Instant,
    /// Time until its deadline.
    pub may_take: Duration,
    /// Longest time that requests of its route took of late, if there were any.
    pub usual_time: Option<Duration>,
    /// Whether its caller may send it again after it was cut.
    pub is_repeatable: bool,
}

impl StopSchedule {
    /// Plans a stop that begins now.
    pub fn new(now: Instant, grace: Duration) -> Self {
        let cut_margin = CUT_MARGIN.min(grace.mul_f64(CUT_MARGIN_SHARE));
        let end_margin = END_MARGIN.min(cut_margin / 2);
        Self {
            closes_at: now + CLOSE_DELAY.min(grace.mul_f64(CLOSE_DELAY_SHARE)),
            cuts_at: now + grace.saturating_sub(cut_margin),
            ends_at: now + grace.saturating_sub(end_margin),
        }
    }

    /// Returns the time until requests in flight are ended.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.cuts_at.saturating_duration_since(now)
    }

    /// Returns whether a request may be passed on to a runner.
    ///
    /// Callers come to other nodes at once after a refusal, but not after a request was cut that must not run twice. So
    /// a request whose deadline lies within the grace period is admitted. Until the listeners close, when the load balancer
    /// has not noticed the stop yet, the usual time of the route is enough.
    pub fn admits(&self, now: Instant, query: &GraceQuery) -> bool {
        let left = self.time_left(now);
        if query.may_take <= left {
            return true;
        }
        if query.read_at >= self.closes_at {
            return false;
        }
        query
            .usual_time
            .map_or(query.is_repeatable && !left.is_zero(), |usual| usual <= left)
    }
}

/// Longest times from the receipt of a request to the end of its answer of late, by route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: BTreeMap<SmolStr, RecentLongest>,
}

/// Longest time in the current window, and in the one before it.
#[derive(Clone, Copy, Debug)]
struct RecentLongest {
    began_at: Instant,
    current: Duration,
    previous: Option<Duration>,
}

impl RecentLongest {
    /// Returns the record as of now.
    fn at(self, now: Instant) -> Option<Self> {
        let age = now.saturating_duration_since(self.began_at);
        if age < RECENT_WINDOW {
            return Some(self);
        }
        (age < RECENT_WINDOW * 2).then_some(Self {
            began_at: self.began_at + RECENT_WINDOW,
            current: Duration::ZERO,
            previous: Some(self.current),
        })
    }
}

impl AnswerTimes {
    /// Records an answer that ended; routes without recent answers are forgotten.
    pub fn record(&mut self, now: Instant, route: &SmolStr, time: Duration) {
        let recent = self.routes.get(route).and_then(|longest| longest.at(now));
        let Some(recent) = recent else {
            self.routes.retain(|_, longest| longest.at(now).is_some());
            let first = RecentLongest {
                began_at: now,
                current: time,
                previous: None,
            };
            self.routes.insert(route.clone(), first);
            return;
        };
        let current = recent.current.max(time);
        self.routes.insert(route.clone(), RecentLongest { current, ..recent });
    }

    /// Returns the longest time of a recent answer on a route, or `None` without one.
    pub fn longest(&self, now: Instant, route: &SmolStr) -> Option<Duration> {
        let recent = self.routes.get(route)?.at(now)?;
        Some(recent.previous.unwrap_or_default().max(recent.current))
    }
}
