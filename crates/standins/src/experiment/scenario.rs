//! Loads and faults that every policy meets alike.

use std::{f64::consts::TAU, ops::Range, time::Duration};

use derive_more::Display;
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::Deployment;

/// Length of every run on virtual time.
pub(super) const RUN: Duration = Duration::from_secs(240);
/// Start of a run that is not counted.
pub(super) const WARM_UP: Duration = Duration::from_secs(30);

/// Time from the trough to the peak of a model's ordinary demand, which stands for an hour.
const SWING_S: f64 = 150.0;
const SWING_FACTOR: f64 = 10.0;
/// Mean of the ordinary swing, by which it is divided so that the mean load is as stated.
const SWING_MEAN: f64 = 1.36;
const SPIKE_FACTOR: f64 = 10.0;
const GROWTH_FACTOR: f64 = 10.0;
const KITCHEN_FACTOR: f64 = 100.0;
const OVERLOAD_FACTOR: f64 = 2.2;
const REPORT_LAG_MS: u64 = 300;
const REPORT_LAG_LONG_MS: u64 = 3_000;
const STORE_SLOWDOWN: f64 = 5.0;

/// The scenarios.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScenarioKind {
    /// Four models at ten times their demand within 30 s.
    #[display("dawn_spike")]
    DawnSpike,
    /// Two models grow tenfold in 150 s, which stands for an hour.
    #[display("tenfold_growth")]
    TenfoldGrowth,
    /// One failure domain is lost and comes back empty.
    #[display("domain_lost")]
    DomainLost,
    /// The dawn spike with a weight store five times slower.
    #[display("store_slow")]
    StoreSlow,
    /// The dawn spike with load reports that are three seconds old.
    #[display("reports_lagging")]
    ReportsLagging,
    /// One small tenant at a hundred times its load.
    #[display("tenant_flood")]
    TenantFlood,
    /// Everything at 2.2 times its demand for 100 s, which stand for ten minutes.
    #[display("overload")]
    Overload,
}

impl ScenarioKind {
    /// Every scenario.
    pub const ALL: [Self; 7] = [
        Self::DawnSpike,
        Self::TenfoldGrowth,
        Self::DomainLost,
        Self::StoreSlow,
        Self::ReportsLagging,
        Self::TenantFlood,
        Self::Overload,
    ];
}

/// A scenario with what a seed draws for it.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    pub(super) kind: ScenarioKind,
    hot_models: Vec<usize>,
    phases: Vec<f64>,
    pub(super) flooding_tenant: usize,
    pub(super) lost_domain: usize,
}

impl Scenario {
    pub(super) fn draw(kind: ScenarioKind, deployment: &Deployment, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5ce0);
        // The most popular models have replicas anyway, and spikes are of others as well.
        let mut models: Vec<usize> = (2..deployment.catalogue.models).collect();
        models.shuffle(&mut rng);
        models.truncate(if kind == ScenarioKind::TenfoldGrowth { 2 } else { 4 });
        Self {
            kind,
            hot_models: models,
            phases: (0..deployment.catalogue.models)
                .map(|_| rng.random_range(0.0..TAU))
                .collect(),
            flooding_tenant: rng.random_range(deployment.tenants / 2..deployment.tenants),
            lost_domain: rng.random_range(0..deployment.domains),
        }
    }

    /// Returns the factor on a model's demand at a time, in seconds: its ordinary swing and what the scenario adds.
    pub(super) fn model_factor(&self, model: Option<usize>, at_s: f64) -> f64 {
        let swing = model.map_or(1.0, |model| {
            let angle = TAU * at_s / (2.0 * SWING_S) + self.phases[model];
            SWING_FACTOR.powf(0.5 * angle.sin()) / SWING_MEAN
        });
        swing * self.scenario_factor(model, at_s)
    }

    fn scenario_factor(&self, model: Option<usize>, at_s: f64) -> f64 {
        if self.kind == ScenarioKind::Overload {
            return if (60.0..160.0).contains(&at_s) {
                OVERLOAD_FACTOR
            } else {
                1.0
            };
        }
        if !model.is_some_and(|model| self.hot_models.contains(&model)) {
            return 1.0;
        }
        match self.kind {
            ScenarioKind::DawnSpike | ScenarioKind::StoreSlow | ScenarioKind::ReportsLagging => {
                let rise = ((at_s - 60.0) / 30.0).clamp(0.0, 1.0);
                let fall = ((at_s - 180.0) / 20.0).clamp(0.0, 1.0);
                1.0 + (SPIKE_FACTOR - 1.0) * (rise - fall)
            }
            ScenarioKind::TenfoldGrowth => GROWTH_FACTOR.powf(((at_s - 40.0) / 150.0).clamp(0.0, 1.0)),
            _ => 1.0,
        }
    }

    /// Returns the factor on a tenant's demand at a time, in seconds.
    pub(super) fn tenant_factor(&self, tenant: usize, at_s: f64) -> f64 {
        let is_flooding =
            self.kind == ScenarioKind::TenantFlood && tenant == self.flooding_tenant && (60.0..180.0).contains(&at_s);
        if is_flooding { KITCHEN_FACTOR } else { 1.0 }
    }

    /// Returns when a failure domain is away.
    pub(super) fn outage(&self) -> Option<Range<Duration>> {
        (self.kind == ScenarioKind::DomainLost).then(|| Duration::from_secs(90)..Duration::from_secs(170))
    }

    /// Returns when the overload lasts.
    pub(super) fn overload(&self) -> Option<Range<Duration>> {
        (self.kind == ScenarioKind::Overload).then(|| Duration::from_secs(60)..Duration::from_secs(160))
    }

    pub(super) fn report_lag(&self) -> Duration {
        let is_long = self.kind == ScenarioKind::ReportsLagging;
        Duration::from_millis(if is_long { REPORT_LAG_LONG_MS } else { REPORT_LAG_MS })
    }

    pub(super) fn store_slowdown(&self) -> f64 {
        if self.kind == ScenarioKind::StoreSlow {
            STORE_SLOWDOWN
        } else {
            1.0
        }
    }
}
