//! Estimates of demand from counted arrivals.
//!
//! Two moving averages follow the rate at different speeds. While a rate grows steadily each lags by its own time
//! constant, so their difference gives the trend, and weights can be loaded before the demand has come.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::log::Artifact;

/// Settings of [`DemandEstimator`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandSettings {
    /// Time constant of the fast average.
    pub fast: Duration,
    /// Time constant of the slow average.
    pub slow: Duration,
    /// How far ahead the rate is forecast: the time that a load takes.
    pub lead: Duration,
    /// Largest ratio of the forecast to the fast average.
    pub max_growth: f64,
    /// Whether a falling rate is forecast too, which frees its replicas early; otherwise it is followed slowly, so that a
    /// short lull unloads nothing.
    pub follows_fall: bool,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            fast: Duration::from_secs(8),
            slow: Duration::from_secs(40),
            lead: Duration::from_secs(10),
            max_growth: 2.0,
            follows_fall: false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RateAverages {
    fast: f64,
    slow: f64,
}

/// Rates of requests by weights.
#[derive(Clone, Debug)]
pub struct DemandEstimator {
    settings: DemandSettings,
    rates: BTreeMap<Artifact, RateAverages>,
    updated_at: Option<Instant>,
}

impl DemandEstimator {
    /// Creates an estimator without any arrival.
    pub fn new(settings: DemandSettings) -> Self {
        Self {
            settings,
            rates: BTreeMap::new(),
            updated_at: None,
        }
    }

    /// Takes the arrivals since the last call, refused ones included, because they are demand too;
    /// a count may be a share, when several domains serve one entry node.
    pub fn observe(&mut self, now: Instant, arrivals: &BTreeMap<Artifact, f64>) {
        let Some(last) = self.updated_at.replace(now) else {
            return;
        };
        let elapsed_s = now.saturating_duration_since(last).as_secs_f64();
        if elapsed_s <= 0.0 {
            self.updated_at = Some(last);
            return;
        }
        for artifact in arrivals.keys() {
            self.rates.entry(artifact.clone()).or_default();
        }
        let fast_share = 1.0 - (-elapsed_s / self.settings.fast.as_secs_f64()).exp();
        let slow_share = 1.0 - (-elapsed_s / self.settings.slow.as_secs_f64()).exp();
        for (artifact, averages) in &mut self.rates {
            let rate = arrivals.get(artifact).copied().unwrap_or_default() / elapsed_s;
            averages.fast += (rate - averages.fast) * fast_share;
            averages.slow += (rate - averages.slow) * slow_share;
        }
    }

    /// Forgets weights that are no longer declared.
    pub fn retain(&mut self, is_declared: impl Fn(&Artifact) -> bool) {
        self.rates.retain(|artifact, _| is_declared(artifact));
    }

    /// Returns the present rate of all weights together, and the sum of their forecasts.
    pub fn totals(&self) -> (f64, f64) {
        let present = self.rates.values().map(|averages| averages.fast).sum();
        let foretold = self.rates.keys().map(|artifact| self.forecast(artifact)).sum();
        (present, foretold)
    }

    /// Returns the rate in requests a second that is expected when a load begun now has finished.
    pub fn forecast(&self, artifact: &Artifact) -> f64 {
        let Some(averages) = self.rates.get(artifact) else {
            return 0.0;
        };
        let gap_s = self.settings.slow.saturating_sub(self.settings.fast).as_secs_f64();
        let slope = (averages.fast - averages.slow) / gap_s.max(f64::EPSILON);
        if slope <= 0.0 && !self.settings.follows_fall {
            return averages.fast.midpoint(averages.slow);
        }
        let ahead_s = (self.settings.fast + self.settings.lead).as_secs_f64();
        (averages.fast + slope * ahead_s).clamp(0.0, averages.fast * self.settings.max_growth)
    }
}
