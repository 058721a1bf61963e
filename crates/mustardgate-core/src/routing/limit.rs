//! A concurrency limit that adapts to measured latency.

use std::time::Duration;

/// Settings of [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Smallest limit.
    pub min: f64,
    /// Largest limit.
    pub max: f64,
    /// Ratio of recent to long-term latency up to which the runner counts as not overloaded.
    pub tolerance: f64,
    /// Weight of each new estimate in the moving average that is the limit.
    pub smoothing: f64,
}

impl LimitSettings {
    /// Returns the settings for a runner that batches at most `max_concurrency` requests.
    pub fn for_runner(max_concurrency: u32) -> Self {
        Self {
            min: 1.0,
            max: f64::from(max_concurrency.max(1)),
            tolerance: 2.0,
            smoothing: 0.2,
        }
    }
}

const RECENT_WEIGHT: f64 = 0.1;
const BASELINE_WEIGHT: f64 = 0.002;
/// Number of answers whose plain mean is the initial baseline.
const BASELINE_ANSWERS: u32 = 32;
const MIN_GRADIENT: f64 = 0.5;
const OVERLOAD_FACTOR: f64 = 0.7;

/// Maximum number of requests in flight at a runner, raised while latency is normal and lowered when it grows.
///
/// The gradient compares recent latency with a long-term mean rather than the minimum, because answers from a cached
/// prefix are much faster at any load. A refusal or a timeout lowers the limit by a factor at once.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    limit: f64,
    baseline_s: f64,
    recent_s: f64,
    measurements: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the runner's declared batch size, which its operator guarantees.
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            limit: settings.max,
            baseline_s: 0.0,
            recent_s: 0.0,
            measurements: 0,
        }
    }

    /// Returns the limit in whole requests.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the recent latency, or `None` before the first measurement.
    pub fn recent_latency(&self) -> Option<Duration> {
        (self.measurements > 0).then(|| Duration::from_secs_f64(self.recent_s))
    }

    /// Adjusts the limit to one answer that took `latency` while `in_flight` requests were in flight.
    pub fn record_latency(&mut self, latency: Duration, in_flight: u32) {
        let latency_s = latency.as_secs_f64().max(1e-6);
        self.measurements = self.measurements.saturating_add(1);
        let first_weight = match self.measurements {
            measurements @ ..=BASELINE_ANSWERS => 1.0 / f64::from(measurements),
            _ => 0.0,
        };
        self.baseline_s += (latency_s - self.baseline_s) * first_weight.max(BASELINE_WEIGHT);
        self.recent_s += (latency_s - self.recent_s) * first_weight.max(RECENT_WEIGHT);
        let gradient = (self.settings.tolerance * self.baseline_s / self.recent_s).clamp(MIN_GRADIENT, 1.0);
        let is_used = f64::from(in_flight) * 2.0 >= self.limit;
        if gradient >= 1.0 && !is_used {
            return;
        }
        let target = self.limit * gradient + self.limit.sqrt() * f64::from(u8::from(is_used));
        self.set(self.limit + (target - self.limit) * self.settings.smoothing);
    }

    /// Lowers the limit after the runner refused a request or timed out.
    pub fn record_overload(&mut self) {
        self.set(self.limit * OVERLOAD_FACTOR);
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(self.settings.min, self.settings.max);
    }
}
