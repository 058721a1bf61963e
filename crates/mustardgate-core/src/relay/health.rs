//! Passive health check of a runner, based on the outcomes of requests.

use std::time::{Duration, Instant};

/// Settings of [`OutcomeTracker`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Weight of the newest outcome in the moving average of failures.
    pub weight: f64,
    /// Half-life of the failure ratio, whose decay makes a failing runner eligible again.
    pub half_life: Duration,
    /// Time for which a runner is avoided after a failed connection attempt.
    pub connect_cooldown: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            weight: 0.25,
            half_life: Duration::from_secs(2),
            connect_cooldown: Duration::from_millis(500),
        }
    }
}

/// Tracks the share of recent requests that failed at one runner.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeTracker {
    settings: HealthSettings,
    failure_ratio: f64,
    updated_at: Option<Instant>,
    cooldown_until: Option<Instant>,
}

impl OutcomeTracker {
    /// Creates a tracker without any outcome.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            failure_ratio: 0.0,
            updated_at: None,
            cooldown_until: None,
        }
    }

    /// Records a request that the runner answered properly or failed.
    pub fn record(&mut self, now: Instant, is_failure: bool) {
        let outcome = f64::from(u8::from(is_failure));
        let ratio = self.failure_ratio(now);
        self.failure_ratio = ratio + (outcome - ratio) * self.settings.weight;
        self.updated_at = Some(now);
    }

    /// Records that no connection could be made, which also starts a cooldown.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record(now, true);
        self.cooldown_until = Some(now + self.settings.connect_cooldown);
    }

    /// Returns the share of failures, which decays with the time since the last outcome.
    pub fn failure_ratio(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        let age_s = now.saturating_duration_since(updated_at).as_secs_f64();
        self.failure_ratio * (-age_s / self.settings.half_life.as_secs_f64() * std::f64::consts::LN_2).exp()
    }

    /// Returns whether the runner is in the cooldown after a failed connection attempt.
    pub fn is_in_cooldown(&self, now: Instant) -> bool {
        self.cooldown_until.is_some_and(|until| now < until)
    }
}
