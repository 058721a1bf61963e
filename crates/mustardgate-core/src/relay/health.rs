//! Passive health of a runner, learnt from the outcomes of requests.

use std::time::{Duration, Instant};

/// Settings of [`OutcomeTracker`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Weight of the newest outcome in the failure ratio.
    pub weight: f64,
    /// Time over which a failure is half forgotten, so that a runner is tried again.
    pub half_life: Duration,
    /// Time for which a runner that refused a connection is left alone.
    pub connect_pause: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            weight: 0.25,
            half_life: Duration::from_secs(2),
            connect_pause: Duration::from_millis(500),
        }
    }
}

/// Share of recent requests that failed at one runner.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeTracker {
    settings: HealthSettings,
    failure_ratio: f64,
    updated_at: Option<Instant>,
    paused_until: Option<Instant>,
}

impl OutcomeTracker {
    /// Creates a tracker without any outcome.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            failure_ratio: 0.0,
            updated_at: None,
            paused_until: None,
        }
    }

    /// Learns from a request that the runner answered well, or failed.
    pub fn record(&mut self, now: Instant, is_failure: bool) {
        let outcome = f64::from(u8::from(is_failure));
        let ratio = self.failure_ratio(now);
        self.failure_ratio = ratio + (outcome - ratio) * self.settings.weight;
        self.updated_at = Some(now);
    }

    /// Learns that no connection could be made.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record(now, true);
        self.paused_until = Some(now + self.settings.connect_pause);
    }

    /// Returns the share of failures, fading with time.
    pub fn failure_ratio(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        let age_s = now.saturating_duration_since(updated_at).as_secs_f64();
        self.failure_ratio * (-age_s / self.settings.half_life.as_secs_f64() * std::f64::consts::LN_2).exp()
    }

    /// Returns whether the runner is left alone for now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}
