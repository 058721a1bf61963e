//! Requests of one run, generated in advance so that every policy gets the same ones.

use std::time::Duration;

use mustardgate_core::resources::PriorityClass;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Deployment, ScenarioKind,
    engine::MEAN_HOLD_S,
    scenario::{RUN_LENGTH, Scenario},
};

/// Mean load without any scenario, as a share of the capacity.
const ORDINARY_UTILISATION: f64 = 0.5;
/// Interval during which the request rate is constant.
const STEP_S: f64 = 0.5;
const TENANT_ZIPF_EXPONENT: f64 = 0.7;
/// Share of requests that is spread evenly over all entries.
const UNIFORM_SHARE: f64 = 0.02;
/// Mean work of a call of the plain service, in seconds.
const SERVICE_WORK_S: f64 = 0.2;

/// The arrival of one request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the requested entry in the catalogue.
    pub entry: usize,
    /// Index of the tenant that sends the request.
    pub tenant: usize,
    /// Priority class.
    pub class: PriorityClass,
    /// Target for the time to the first token, which is also the request's deadline.
    pub target: Duration,
    /// Random number by which the load balancer picks an entry node.
    pub node_draw: u64,
    /// Digest of the prompt's first blocks; `None` for the plain service.
    pub prefix: Option<u64>,
    /// Seconds for which the request occupies a slot in a full batch.
    pub work_s: f64,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

/// Generates the requests of a scenario for one seed.
pub fn generate_arrivals(deployment: &Deployment, kind: ScenarioKind, seed: u64) -> Vec<Arrival> {
    let scenario = Scenario::draw(kind, deployment, seed);
    let mut generator = ArrivalGenerator {
        deployment,
        scenario: &scenario,
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    let rate = deployment.capacity_per_second() * ORDINARY_UTILISATION;
    let steps = (RUN_LENGTH.as_secs_f64() / STEP_S) as usize;
    let mut arrivals = Vec::new();
    for step in 0..steps {
        generator.generate_step(step as f64 * STEP_S, rate, &mut arrivals);
    }
    arrivals
}

struct ArrivalGenerator<'a> {
    deployment: &'a Deployment,
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
}

impl ArrivalGenerator<'_> {
    fn generate_step(&mut self, start_s: f64, rate: f64, arrivals: &mut Vec<Arrival>) {
        let entries = self.entry_weights(start_s);
        let tenants = self.tenant_weights(start_s);
        let ordinary: f64 = self.tenant_weights(0.0).iter().sum();
        let factor = entries.iter().sum::<f64>() * tenants.iter().sum::<f64>() / ordinary;
        let mut at_s = start_s;
        loop {
            at_s += -(1.0 - self.rng.random::<f64>()).ln() / (rate * factor);
            if at_s >= start_s + STEP_S {
                return;
            }
            let entry = pick_weighted(&entries, self.rng.random());
            let tenant = pick_weighted(&tenants, self.rng.random());
            arrivals.push(self.arrival(at_s, entry, tenant));
        }
    }

    /// Weights entries by popularity, with a small uniform share so that unpopular ones are requested as well.
    fn entry_weights(&self, at_s: f64) -> Vec<f64> {
        let entries = &self.deployment.catalogue.entries;
        let uniform = UNIFORM_SHARE / entries.len() as f64;
        entries
            .iter()
            .map(|entry| {
                (entry.popularity * (1.0 - UNIFORM_SHARE) + uniform) * self.scenario.model_factor(entry.model, at_s)
            })
            .collect()
    }

    fn tenant_weights(&self, at_s: f64) -> Vec<f64> {
        (0..self.deployment.tenants)
            .map(|tenant| ((tenant + 1) as f64).powf(-TENANT_ZIPF_EXPONENT) * self.scenario.tenant_factor(tenant, at_s))
            .collect()
    }

    fn arrival(&mut self, at_s: f64, entry: usize, tenant: usize) -> Arrival {
        let is_service = entry == self.deployment.catalogue.service_index();
        let (class, target_ms) = match self.rng.random_range(0..100) {
            _ if is_service => (PriorityClass::Interactive, 580),
            0..50 => (PriorityClass::Interactive, 580),
            50..85 => (PriorityClass::Standard, 1_000),
            _ => (PriorityClass::Batch, 8_000),
        };
        let spread = self.rng.random_range(0.4..1.6);
        Arrival {
            at: Duration::from_secs_f64(at_s),
            entry,
            tenant,
            class,
            target: Duration::from_millis(target_ms),
            node_draw: self.rng.random(),
            prefix: (!is_service).then(|| (entry as u64) << 32 | (tenant as u64) << 8 | self.rng.random_range(0..3)),
            work_s: spread * if is_service { SERVICE_WORK_S } else { MEAN_HOLD_S },
            is_idempotent: !is_service,
        }
    }
}

fn pick_weighted(weights: &[f64], draw: f64) -> usize {
    let mut left = draw * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}
