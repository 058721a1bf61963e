//! What a node measures of the engines of a service: time to read prompts and time between events, against load.

use std::time::{Duration, Instant};

use super::forecast::{BatchLoad, RequestWork};

/// Factor by which each sample reduces the weight of those before it: about the last 50 samples count.
const SAMPLE_KEEP: f64 = 0.98;
/// Weight of samples from which on a measurement is used.
const MIN_WEIGHT: f64 = 3.0;
/// Variance of the load, in requests squared, below which samples say little about how a time grows with the load.
const LOAD_VARIANCE_FLOOR: f64 = 1.0;
/// Events of a stream for one sample of the time between events; a pause is the longest of them.
const EVENTS_PER_SAMPLE: u32 = 8;
/// Time constant with which the largest batch seen without a queue falls: the mix of requests changes within seconds.
const BATCH_MEMORY: Duration = Duration::from_secs(10);
/// Time without a sample after which measured times count as shorter and shorter, and the time constant of that. A node that
/// measured too long a time sends nothing and would never learn better.
const SAMPLE_VALIDITY: Duration = Duration::from_secs(3);
const DISCOUNT_TIME: Duration = Duration::from_secs(3);
/// Weight of a time to the first token that is longer than expected: what other nodes sent in the meantime makes it so.
const LONGER_WEIGHT: f64 = 0.3;
/// Time constant of the rate of requests that are sent.
const SENT_MEMORY: Duration = Duration::from_secs(2);
/// Tokens added to each prompt in the measured reading rate, so that a cached prompt doesn't count as read for nothing.
const BASE_TOKENS: f64 = 64.0;

/// Tokens of a prompt or answer above which a request counts as no larger: callers may state any number.
const MAX_SAMPLE_TOKENS: f64 = 16_384.0;
/// Longest time that is told apart from longer ones; callers may state any number of tokens.
const MAX_TIME_S: f64 = 86_400.0;

/// Returns a duration for any number of seconds.
pub(super) fn bounded(seconds: f64) -> Duration {
    let is_bounded = seconds < MAX_TIME_S;
    Duration::from_secs_f64(if is_bounded { seconds.max(0.0) } else { MAX_TIME_S })
}

/// Linear dependence of a time, in seconds, on the load of a runner, from recent samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadFit {
    weight: f64,
    load: f64,
    time: f64,
    load_squared: f64,
    load_time: f64,
}

impl LoadFit {
    /// Records a measured time at a load.
    pub fn record(&mut self, load: f64, time_s: f64) {
        self.record_weighted(load, time_s, 1.0);
    }

    fn record_weighted(&mut self, load: f64, time_s: f64, weight: f64) {
        let add = |sum: &mut f64, value: f64| *sum = *sum * SAMPLE_KEEP.powf(weight) + value * weight;
        add(&mut self.weight, 1.0);
        add(&mut self.load, load);
        add(&mut self.time, time_s);
        add(&mut self.load_squared, load * load);
        add(&mut self.load_time, load * time_s);
    }

    /// Returns the time expected at a load, or `None` with too few samples. It never falls with the load and is never
    /// more than in proportion to it, whatever the noise of the samples.
    pub fn at(&self, load: f64) -> Option<f64> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let (mean_load, mean_time) = (self.load / self.weight, self.time / self.weight);
        let variance = self.load_squared / self.weight - mean_load * mean_load;
        let covariance = self.load_time / self.weight - mean_load * mean_time;
        let steepest = mean_time / mean_load.max(1.0);
        let slope = (covariance / (variance.max(0.0) + LOAD_VARIANCE_FLOOR)).clamp(0.0, steepest);
        Some((mean_time + slope * (load - mean_load)).max(0.0))
    }
}

/// Mean of recent samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RecentMean {
    weight: f64,
    sum: f64,
}

impl RecentMean {
    fn record(&mut self, value: f64) {
        self.weight = self.weight * SAMPLE_KEEP + 1.0;
        self.sum = self.sum * SAMPLE_KEEP + value;
    }

    fn get(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// Times between the events of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EventGaps {
    /// Mean time between events.
    pub mean: Duration,
    /// Longest time without an event.
    pub longest: Duration,
}

/// Times the events of one answer.
#[derive(Clone, Copy, Debug)]
pub struct EventTimer {
    sample_began_at: Instant,
    last_at: Instant,
    longest: Duration,
    sample_events: u32,
    /// Events since the answer began.
    events: u64,
}

impl EventTimer {
    /// Creates a timer of an answer whose first events arrive at `now`.
    pub fn start(now: Instant, events: u32) -> Self {
        Self {
            sample_began_at: now,
            last_at: now,
            longest: Duration::ZERO,
            sample_events: 0,
            events: u64::from(events),
        }
    }

    /// Records that events arrived together; returns a sample after every few of them.
    pub fn record(&mut self, now: Instant, events: u32) -> Option<EventGaps> {
        self.events += u64::from(events);
        self.sample_events += events;
        self.longest = self.longest.max(now.saturating_duration_since(self.last_at));
        self.last_at = now;
        if self.sample_events < EVENTS_PER_SAMPLE {
            return None;
        }
        let gaps = EventGaps {
            mean: now.saturating_duration_since(self.sample_began_at) / self.sample_events,
            longest: self.longest,
        };
        (self.sample_began_at, self.longest, self.sample_events) = (now, Duration::ZERO, 0);
        Some(gaps)
    }

    /// Returns the events since the answer began.
    pub fn events(&self) -> u64 {
        self.events
    }
}

/// What a node has measured of the engines of one service.
///
/// The configuration states neither the duration of a step nor how fast prompts are read, and both depend on the model
/// and on the batch. All times are divided by the pace of the runner's machine, so that they hold for any pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineMeasurements {
    /// Time to the first token for each token read before it, against running requests: prompts are read in pieces
    /// between the steps of the batch, which take longer the more requests run.
    reading: LoadFit,
    /// Time between events against running requests.
    gaps: LoadFit,
    /// Longest time between events of a sample against running requests.
    pauses: LoadFit,
    /// Events of an answer.
    events: RecentMean,
    /// Events of an answer for each token that its request allowed.
    events_per_token: RecentMean,
    prompt_tokens: RecentMean,
    output_tokens: RecentMean,
    /// Largest batch seen at a runner where nothing waited, and when.
    free_batch: Option<(f64, Instant)>,
    /// When a time was last measured, and by how much measured times count as shorter since.
    measured_at: Option<Instant>,
    discount: f64,
    /// Requests that were sent, with a weight that falls with time, and when the last one was.
    sent: Option<(f64, Instant)>,
}

impl EngineMeasurements {
    /// Returns the measurements as they count now.
    #[must_use]
    pub fn discounted(mut self, now: Instant) -> Self {
        let age = self
            .measured_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let over_s = age.saturating_sub(SAMPLE_VALIDITY).as_secs_f64();
        self.discount = 1.0 - (-over_s / DISCOUNT_TIME.as_secs_f64()).exp();
        self
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        let weight = self.sent_weight(now) + 1.0;
        self.sent = Some((weight, now));
    }

    /// Returns the requests a second that are sent.
    pub fn sent_per_s(&self, now: Instant) -> f64 {
        self.sent_weight(now) / SENT_MEMORY.as_secs_f64()
    }

    fn sent_weight(&self, now: Instant) -> f64 {
        self.sent.map_or(0.0, |(weight, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            weight * (-age / SENT_MEMORY.as_secs_f64()).exp()
        })
    }

    /// Records the time to the first token of a request that was sent to a runner with this load. It says nothing of the
    /// reading of prompts if the batch had no place for it.
    pub fn record_first_token(&mut self, now: Instant, load: &BatchLoad, work: &RequestWork, elapsed: Duration) {
        if load.running < load.slots {
            let tokens = work.prompt_tokens + load.waiting * self.mean_prompt() + BASE_TOKENS;
            let time_s = elapsed.as_secs_f64() / load.pace / tokens;
            let is_longer = self.reading.at(load.running).is_some_and(|expected| time_s > expected);
            let weight = if is_longer { LONGER_WEIGHT } else { 1.0 };
            self.reading.record_weighted(load.running, time_s, weight);
            self.measured_at = Some(now);
        }
        self.prompt_tokens.record(work.prompt_tokens.min(MAX_SAMPLE_TOKENS));
        self.output_tokens.record(work.output_tokens.min(MAX_SAMPLE_TOKENS));
    }

    /// Records the times between some events of a stream.
    pub fn record_gaps(&mut self, running: f64, pace: f64, gaps: EventGaps) {
        self.gaps.record(running, gaps.mean.as_secs_f64() / pace);
        self.pauses.record(running, gaps.longest.as_secs_f64() / pace);
    }

    /// Records the end of a stream after so many events. One that broke off would have had more, so it counts only if it
    /// had more than others: otherwise nothing is learned where no stream ends in time.
    pub fn record_end(&mut self, work: &RequestWork, events: u64, is_complete: bool) {
        let counts = |mean: &RecentMean, sample: f64| is_complete || mean.get().is_none_or(|mean| sample > mean);
        let events = events as f64;
        if counts(&self.events, events) {
            self.events.record(events);
        }
        let share = events / work.output_tokens.max(1.0);
        if counts(&self.events_per_token, share) {
            self.events_per_token.record(share);
        }
    }

    /// Records that so many requests run at a runner where nothing waits: its memory holds that many.
    pub fn record_free_batch(&mut self, now: Instant, running: f64) {
        if running > self.free_batch(now) {
            self.free_batch = Some((running, now));
        }
    }

    fn free_batch(&self, now: Instant) -> f64 {
        self.free_batch.map_or(0.0, |(running, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            running * (-age / BATCH_MEMORY.as_secs_f64()).exp()
        })
    }

    /// Returns how many requests run at once in a batch of `slots` with memory for `kv_tokens`. Prompts share cached
    /// parts, of which a node knows few, so a larger batch that was seen without a queue counts for more.
    pub fn places(&self, now: Instant, slots: f64, kv_tokens: u64) -> f64 {
        let sizes = self.prompt_tokens.get().zip(self.output_tokens.get());
        let tokens = sizes.map_or(0.0, |(prompt, output)| prompt + output);
        if tokens < 1.0 || kv_tokens == 0 {
            return slots;
        }
        (kv_tokens as f64 / tokens)
            .max(self.free_batch(now))
            .clamp(1.0, slots.max(1.0))
    }

    /// Returns the mean number of tokens that a prompt adds to those read before a later one.
    pub(super) fn mean_prompt(&self) -> f64 {
        self.prompt_tokens.get().unwrap_or_default()
    }

    /// Returns the expected time to read so many tokens beside `running` requests, at the usual pace.
    pub(super) fn reading_time(&self, running: f64, tokens: f64) -> Duration {
        let rate = self.reading.at(running).unwrap_or_default();
        bounded(rate * (tokens + BASE_TOKENS) * (1.0 - self.discount))
    }

    /// Returns the expected time from the first event to the last one in a batch of `running`, at the usual pace.
    pub(super) fn events_time(&self, running: f64, output_tokens: f64) -> Duration {
        let gap = self.gaps.at(running).unwrap_or_default();
        let events = output_tokens * self.events_per_token.get().unwrap_or_default();
        bounded(gap * events * (1.0 - self.discount))
    }

    /// Returns the expected longest time without an event in a batch of `running`, at the usual pace.
    pub(super) fn pause(&self, running: f64) -> Duration {
        bounded(self.pauses.at(running).unwrap_or_default())
    }

    /// Returns the mean time that a request takes a place in a batch of `running`, at the usual pace; zero if unknown.
    pub(super) fn mean_life(&self, running: f64) -> Duration {
        let gap = self.gaps.at(running).unwrap_or_default();
        let events = self.events.get().unwrap_or_default();
        self.reading_time(running, self.mean_prompt()) + bounded(gap * events)
    }
}
