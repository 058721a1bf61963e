//! Scenarios of load and faults, which are the same for every policy.

use std::{f64::consts::TAU, ops::Range, time::Duration};

use derive_more::Display;
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::Deployment;

/// Length of every run on virtual time.
pub(super) const RUN_LENGTH: Duration = Duration::from_secs(240);
/// Time at the start of a run that is not counted.
pub(super) const WARM_UP: Duration = Duration::from_secs(30);

/// Time from the trough to the peak of a model's ordinary demand, which represents an hour.
const TROUGH_TO_PEAK_S: f64 = 150.0;
const PEAK_TO_TROUGH_RATIO: f64 = 10.0;
/// Mean factor of the ordinary demand cycle; demand is divided by it, so that the cycle leaves the mean load unchanged.
const CYCLE_MEAN: f64 = 1.36;
const SPIKE_FACTOR: f64 = 10.0;
const GROWTH_FACTOR: f64 = 10.0;
const FLOOD_FACTOR: f64 = 100.0;
const OVERLOAD_FACTOR: f64 = 2.2;
const REPORT_LAG_MS: u64 = 300;
const LONG_REPORT_LAG_MS: u64 = 3_000;
const STORE_SLOWDOWN: f64 = 5.0;

/// The scenarios.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScenarioKind {
    /// Demand for four models rises to ten times its level within 30 s.
    #[display("dawn_spike")]
    DawnSpike,
    /// Demand for two models grows tenfold in 150 s, which represent an hour.
    #[display("tenfold_growth")]
    TenfoldGrowth,
    /// One failure domain is lost and comes back with empty runners.
    #[display("domain_lost")]
    DomainLost,
    /// The dawn spike with a weight store that is five times slower.
    #[display("store_slow")]
    StoreSlow,
    /// The dawn spike with load reports that are three seconds old.
    #[display("reports_lagging")]
    ReportsLagging,
    /// One small tenant sends a hundred times its load.
    #[display("tenant_flood")]
    TenantFlood,
    /// All demand is 2.2 times its level for 100 s, which represent ten minutes.
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

/// A scenario with the models, phases, tenant and failure domain drawn for one seed.
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
        // The two most popular models have several replicas anyway, so the demand of others is raised.
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

    /// Returns the factor on a model's demand at a time in seconds: its ordinary cycle times the scenario's factor.
    pub(super) fn model_factor(&self, model: Option<usize>, at_s: f64) -> f64 {
        let cycle = model.map_or(1.0, |model| {
            let angle = TAU * at_s / (2.0 * TROUGH_TO_PEAK_S) + self.phases[model];
            PEAK_TO_TROUGH_RATIO.powf(0.5 * angle.sin()) / CYCLE_MEAN
        });
        cycle * self.scenario_factor(model, at_s)
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

    /// Returns the factor on a tenant's demand at a time in seconds.
    pub(super) fn tenant_factor(&self, tenant: usize, at_s: f64) -> f64 {
        let is_flooding =
            self.kind == ScenarioKind::TenantFlood && tenant == self.flooding_tenant && (60.0..180.0).contains(&at_s);
        if is_flooding { FLOOD_FACTOR } else { 1.0 }
    }

    /// Returns the time during which a failure domain is down.
    pub(super) fn outage(&self) -> Option<Range<Duration>> {
        (self.kind == ScenarioKind::DomainLost).then(|| Duration::from_secs(90)..Duration::from_secs(170))
    }

    /// Returns the time during which the overload lasts.
    pub(super) fn overload(&self) -> Option<Range<Duration>> {
        (self.kind == ScenarioKind::Overload).then(|| Duration::from_secs(60)..Duration::from_secs(160))
    }

    pub(super) fn report_lag(&self) -> Duration {
        let is_long = self.kind == ScenarioKind::ReportsLagging;
        Duration::from_millis(if is_long { LONG_REPORT_LAG_MS } else { REPORT_LAG_MS })
    }

    pub(super) fn store_slowdown(&self) -> f64 {
        if self.kind == ScenarioKind::StoreSlow {
            STORE_SLOWDOWN
        } else {
            1.0
        }
    }
}
