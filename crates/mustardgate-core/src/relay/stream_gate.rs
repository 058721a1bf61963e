//! Admission of a request by its whole life at a runner, against its deadline, its target and the longest pause.

use std::time::{Duration, Instant};

use super::{
    forecast::{BatchLoad, HALF_FULL, RequestWork, StreamForecast, release_rate},
    measurements::{EngineMeasurements, bounded},
};

/// Share of the time left that a request may be expected to take; runners stop work at the deadline, so what misses it by
/// little is wasted.
const DEADLINE_SHARE: f64 = 0.9;
/// Share of the target latency within which the first token has to be expected to count as in time.
const TARGET_SHARE: f64 = 0.9;
/// Share of a runner's places that kinds of requests less urgent than others of the service may fill.
const PATIENT_SHARE: f64 = 0.85;
/// Share of the most urgent kind's target within which such kinds leave the first token of the next urgent request.
const PATIENT_TARGET_SHARE: f64 = 0.45;
/// Share of a runner's places up to which requests are admitted that will be late, though complete, if nothing waits there:
/// otherwise they take room from requests that would be in time.
const LATE_SHARE: f64 = 0.75;
/// Part of the target latency within which a refusal has to be sent.
const REFUSAL_PART: u32 = 8;

/// Kind of a request by its urgency; a lesser one is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UrgencyRank {
    /// Priority of the tenant, else of the route; 0 is the most urgent.
    pub priority: u32,
    /// Target latency of the route.
    pub target: Duration,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestNeed {
    /// Its kind.
    pub urgency: UrgencyRank,
    /// Most urgent kind of the routes to the service.
    pub most_urgent: UrgencyRank,
    /// Time since it was received.
    pub elapsed: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Longest time without an event that its caller accepts.
    pub longest_pause: Option<Duration>,
    /// Its work.
    pub work: RequestWork,
    /// Whether the request goes on with a stream of which the caller has received a part.
    pub is_begun: bool,
    /// Whether it waits for room, so that it isn't sent for want of time for a refusal alone.
    pub is_queued: bool,
}

impl RequestNeed {
    /// Returns how much longer the request may wait until a refusal comes too late.
    pub fn refusal_left(&self) -> Duration {
        (self.urgency.target / REFUSAL_PART).saturating_sub(self.elapsed)
    }

    fn is_in_time(&self, first_token: Duration) -> bool {
        self.elapsed + first_token <= self.urgency.target.mul_f64(TARGET_SHARE)
    }
}

/// What follows for a request from its forecast at a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AdmissionVerdict {
    /// Not even the empty runner could end it in time.
    Hopeless,
    /// The runner has too much to do now.
    Busy,
    /// It is sent.
    Admitted,
}

impl From<AdmissionVerdict> for &'static str {
    fn from(verdict: AdmissionVerdict) -> Self {
        match verdict {
            AdmissionVerdict::Hopeless => "hopeless",
            AdmissionVerdict::Busy => "busy",
            AdmissionVerdict::Admitted => "admitted",
        }
    }
}

/// Decides whether a request is sent to a runner now.
///
/// Answers bursts of long streams, demand that moves to a model with few replicas, and runners that turn slow: there a
/// request may get its first token in time and still not end by its deadline, after which its work and that of the
/// requests that it slowed are lost.
#[derive(Clone, Copy, Debug)]
pub struct StreamGate<'a> {
    /// What was measured of the service's runners.
    pub measured: &'a EngineMeasurements,
    /// Time of the decision.
    pub now: Instant,
}

impl StreamGate<'_> {
    /// Returns the forecast of a request at a runner.
    pub fn forecast(&self, load: &BatchLoad, need: &RequestNeed) -> StreamForecast {
        StreamForecast::new(self.now, load, &need.work, self.measured)
    }

    /// Returns the forecast of a request at the runner if that were idle.
    pub fn idle_forecast(&self, load: &BatchLoad, need: &RequestNeed) -> StreamForecast {
        self.forecast(&load.with_requests(0.0), need)
    }

    /// Decides on a request at a runner.
    pub fn judge(&self, load: &BatchLoad, need: &RequestNeed) -> AdmissionVerdict {
        // To callers a refusal by a runner with half of its slots free is a mistake.
        let is_free = load.waiting < 1.0 && load.running < load.slots * HALF_FULL;
        let forecast = self.forecast(load, need);
        if !ends(&forecast, need) {
            return if ends(&self.idle_forecast(load, need), need) {
                AdmissionVerdict::Busy
            } else {
                AdmissionVerdict::Hopeless
            };
        }
        let is_refusal_late = need.refusal_left().is_zero() && !need.is_queued;
        // A stream that has begun would be lost with what its caller holds of it.
        if is_free || need.is_begun || is_refusal_late || self.has_room(load, need, &forecast) {
            AdmissionVerdict::Admitted
        } else {
            AdmissionVerdict::Busy
        }
    }

    fn has_room(&self, load: &BatchLoad, need: &RequestNeed, forecast: &StreamForecast) -> bool {
        if need.longest_pause.is_some_and(|longest| forecast.pause > longest) {
            return false;
        }
        let filled = (load.requests() + 1.0) / forecast.places;
        if !need.is_in_time(forecast.first_token) {
            return load.waiting < 1.0 && filled <= LATE_SHARE;
        }
        if need.urgency <= need.most_urgent {
            return true;
        }
        let next_load = load.with_requests(load.requests() + 1.0);
        let next = self.forecast(&next_load, need);
        let urgent_limit = need
            .most_urgent
            .target
            .min(need.urgency.target)
            .mul_f64(PATIENT_TARGET_SHARE);
        filled <= PATIENT_SHARE && next.first_token <= urgent_limit
    }

    /// Returns the time until so many requests have ended at a runner that it would take this one, and whether it can still
    /// be served then; `None` if nothing was measured, or if the runner would never take it.
    pub fn time_to_room(&self, load: &BatchLoad, need: &RequestNeed) -> Option<(Duration, bool)> {
        let rate = release_rate(self.now, load, self.measured)?;
        let is_admitted = |requests: f64| self.judge(&load.with_requests(requests), need) == AdmissionVerdict::Admitted;
        if !is_admitted(0.0) {
            return None;
        }
        // The verdict turns once as the load grows.
        let (mut admitted, mut busy) = (0, (load.requests().ceil() as u64).max(1));
        while busy - admitted > 1 {
            let middle = admitted + (busy - admitted) / 2;
            if is_admitted(middle as f64) {
                admitted = middle;
            } else {
                busy = middle;
            }
        }
        let eased = load.with_requests(admitted as f64);
        let time = bounded((load.requests() - eased.requests()).max(0.0) / rate);
        let later = RequestNeed {
            elapsed: need.elapsed + time,
            time_left: need.time_left.saturating_sub(time),
            is_queued: true,
            ..*need
        };
        Some((time, self.judge(&eased, &later) == AdmissionVerdict::Admitted))
    }
}

fn ends(forecast: &StreamForecast, need: &RequestNeed) -> bool {
    forecast.end <= need.time_left.mul_f64(DEADLINE_SHARE)
}
