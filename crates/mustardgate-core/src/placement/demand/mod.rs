//! Demand forecasts from counted arrivals.
//!
//! Two exponential moving averages with different time constants track the rate. While the rate grows linearly, each
//! average lags by its time constant, so their difference gives the slope, and weights can be loaded before the demand
//! arrives.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::log::Artifact;

/// Settings of [`DemandEstimator`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandSettings {
    /// Time constant of the fast average.
    pub fast_time_constant: Duration,
    /// Time constant of the slow average.
    pub slow_time_constant: Duration,
    /// Time ahead for which the rate is forecast: the duration of a load.
    pub lead_time: Duration,
    /// Maximum ratio of the forecast to the fast average.
    pub max_growth: f64,
    /// Whether a falling rate is extrapolated too, which frees replicas early. Otherwise the forecast falls slowly, so
    /// that a short lull does not cause unloads.
    pub extrapolates_fall: bool,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            fast_time_constant: Duration::from_secs(8),
            slow_time_constant: Duration::from_secs(40),
            lead_time: Duration::from_secs(10),
            max_growth: 2.0,
            extrapolates_fall: false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RateAverages {
    fast: f64,
    slow: f64,
}

/// Estimates the request rate of each artifact.
#[derive(Clone, Debug)]
pub struct DemandEstimator {
    settings: DemandSettings,
    rates: BTreeMap<Artifact, RateAverages>,
    updated_at: Option<Instant>,
}

impl DemandEstimator {
    /// Creates an estimator without any arrivals.
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            rates: BTreeMap::new(),
            updated_at: None,
        }
    }

    /// Updates the rates with the arrivals since the last call; the first call only starts the measurement.
    ///
    /// Refused requests count, because they are demand too. A count may be fractional when several failure domains
    /// share the requests of one entry node.
    pub fn observe(&mut self, now: Instant, arrivals: &BTreeMap<Artifact, f64>) {
        let Some(last_update) = self.updated_at.replace(now) else {
            return;
        };
        let elapsed_s = now.saturating_duration_since(last_update).as_secs_f64();
        if elapsed_s <= 0.0 {
            self.updated_at = Some(last_update);
            return;
        }
        for artifact in arrivals.keys() {
            self.rates.entry(artifact.clone()).or_default();
        }
        let fast_weight = 1.0 - (-elapsed_s / self.settings.fast_time_constant.as_secs_f64()).exp();
        let slow_weight = 1.0 - (-elapsed_s / self.settings.slow_time_constant.as_secs_f64()).exp();
        for (artifact, averages) in &mut self.rates {
            let rate = arrivals.get(artifact).copied().unwrap_or_default() / elapsed_s;
            averages.fast += (rate - averages.fast) * fast_weight;
            averages.slow += (rate - averages.slow) * slow_weight;
        }
    }

    /// Removes artifacts that are no longer declared.
    pub fn retain(&mut self, is_declared: impl Fn(&Artifact) -> bool) {
        self.rates.retain(|artifact, _| is_declared(artifact));
    }

    /// Returns the sums of the current rates and of the forecasts of all artifacts.
    pub fn total_rates(&self) -> (f64, f64) {
        let current = self.rates.values().map(|averages| averages.fast).sum();
        let forecast = self.rates.keys().map(|artifact| self.forecast(artifact)).sum();
        (current, forecast)
    }

    /// Returns the requests a second that are expected once a load that begins now has finished.
    pub fn forecast(&self, artifact: &Artifact) -> f64 {
        let Some(averages) = self.rates.get(artifact) else {
            return 0.0;
        };
        let lag_difference_s = self
            .settings
            .slow_time_constant
            .saturating_sub(self.settings.fast_time_constant)
            .as_secs_f64();
        let slope = (averages.fast - averages.slow) / lag_difference_s.max(f64::EPSILON);
        if slope <= 0.0 && !self.settings.extrapolates_fall {
            return averages.fast.midpoint(averages.slow);
        }
        let ahead_s = (self.settings.fast_time_constant + self.settings.lead_time).as_secs_f64();
        (averages.fast + slope * ahead_s).clamp(0.0, averages.fast * self.settings.max_growth)
    }
}
