//! Forecast of the whole life of a request at a runner.

use std::time::{Duration, Instant};

use super::{
    measurements::{EngineMeasurements, bounded},
    shared_load::RunnerLoadView,
};

/// Factor from the time that a node's oldest unanswered request has waited so far to its whole wait: seen at a random time,
/// half of a wait is over on average.
const OWN_WAIT_FACTOR: u32 = 2;
/// Share of the slots from which on a batch counts as half full.
pub(super) const HALF_FULL: f64 = 0.5;

/// Load of one runner on which a forecast is based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchLoad {
    /// Requests in the batch.
    pub running: f64,
    /// Requests that wait for a place in it.
    pub waiting: f64,
    /// Largest number of requests in the batch.
    pub slots: f64,
    /// How long work takes on the runner's machine now; 1.0 is as usual.
    pub pace: f64,
    /// Capacity of the KV cache in tokens; 0 if unknown.
    pub kv_tokens: u64,
    /// Wait of this node's oldest request there that has no answer yet.
    pub own_wait: Duration,
}

/// What a node knows of a runner beside the shared view.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// This node's requests there that have no answer yet.
    pub unanswered: u32,
    /// Wait of the oldest of them.
    pub wait: Duration,
    /// Requests a second that other nodes send there.
    pub others_per_s: f64,
    /// Capacity of its KV cache in tokens; 0 if unknown.
    pub kv_tokens: u64,
    /// Whether requests wait for their prompts to be read one after the other.
    pub reads_prompts: bool,
}

impl BatchLoad {
    /// Returns the load expected now. The view counts requests sent since the newest statement, but not which of them wait
    /// for their prompts to be read: without them all nodes would send at once to a runner that stated that nothing waits.
    pub fn expected(view: &RunnerLoadView, local: &LocalLoad, measured: &EngineMeasurements) -> Self {
        let pace = view.pace.unwrap_or(1.0);
        let age_s = view.age.as_secs_f64();
        let reading_s = measured
            .reading_time(view.running, measured.mean_prompt())
            .as_secs_f64()
            * pace;
        let read = age_s / reading_s;
        let waiting = if local.reads_prompts {
            let own = f64::from(local.unanswered.saturating_sub(1));
            let stated = if view.running < view.slots && reading_s > 0.0 {
                view.waiting + local.others_per_s * age_s - read
            } else {
                view.waiting
            };
            stated.max(own)
        } else {
            view.waiting
        };
        Self {
            running: (view.running + view.waiting - waiting).clamp(0.0, view.slots),
            waiting,
            slots: view.slots,
            pace,
            kv_tokens: local.kv_tokens,
            own_wait: local.wait,
        }
    }

    /// Returns the load when `requests` are there: those that come now wait, and those that wait are the first to become
    /// fewer.
    pub(super) fn with_requests(self, requests: f64) -> Self {
        let running = requests.min(self.running);
        Self {
            running,
            waiting: requests - running,
            own_wait: Duration::ZERO,
            ..self
        }
    }

    /// Returns the requests at the runner.
    pub(super) fn requests(&self) -> f64 {
        self.running + self.waiting
    }
}

/// Work of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestWork {
    /// Tokens of the prompt that have to be read.
    pub prompt_tokens: f64,
    /// Largest number of tokens in the answer.
    pub output_tokens: f64,
}

/// Expected life of a request that is sent to a runner now.
///
/// Engines run requests in a batch of limited size and memory; each step makes a token for every request in it and
/// reads a piece of a prompt. A request so takes longer the fuller the batch is, and one that can't end by its deadline
/// only slows the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamForecast {
    /// Time until the batch has a place and memory for it.
    pub batch_wait: Duration,
    /// Time to its first token.
    pub first_token: Duration,
    /// Time to its last token.
    pub end: Duration,
    /// Longest time without an event.
    pub pause: Duration,
    /// Requests that the runner can run at once.
    pub places: f64,
}

impl StreamForecast {
    /// Forecasts the life of a request at a runner. What was not measured yet counts as zero.
    pub fn new(now: Instant, load: &BatchLoad, work: &RequestWork, measured: &EngineMeasurements) -> Self {
        let places = current_places(now, load, measured);
        let batch = (load.requests() + 1.0).min(places);
        let ahead = (load.requests() + 1.0 - places).max(0.0);
        let paced = |time: Duration| bounded(time.as_secs_f64() * load.pace);
        let batch_wait = paced(measured.mean_life(places).mul_f64(ahead / places));
        let tokens_before = work.prompt_tokens + load.waiting * measured.mean_prompt();
        let reading = paced(measured.reading_time(batch, tokens_before));
        let first_token = (batch_wait + reading).max(load.own_wait * OWN_WAIT_FACTOR);
        let events = paced(measured.events_time(batch, work.output_tokens));
        Self {
            batch_wait,
            first_token,
            end: first_token + events,
            pause: paced(measured.pause(batch)),
            places,
        }
    }
}

/// Returns the requests that the runner can run at once now. If requests wait beside a batch that is half full, its memory
/// is used up; beside a smaller one they only wait for the next step.
fn current_places(now: Instant, load: &BatchLoad, measured: &EngineMeasurements) -> f64 {
    let places = measured.places(now, load.slots, load.kv_tokens);
    if load.waiting >= 1.0 && load.running >= load.slots * HALF_FULL {
        places.min(load.running).max(1.0)
    } else {
        places
    }
}

/// Returns the requests a second that end at a runner with this load, or `None` if it was not measured.
pub fn release_rate(now: Instant, load: &BatchLoad, measured: &EngineMeasurements) -> Option<f64> {
    let places = current_places(now, load, measured);
    let batch = load.requests().clamp(1.0, places);
    let life_s = measured.mean_life(batch).as_secs_f64() * load.pace;
    (life_s > 0.0).then(|| batch / life_s)
}
