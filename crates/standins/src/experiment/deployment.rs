//! Sizes and limits of the two deployments.

use std::collections::BTreeMap;

use mustardgate_core::{
    ids::{DomainId, MemoryMib},
    placement::base::{BaseInput, BasePlacement, DeclaredRunner},
    resources::PolicySpec,
};
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use super::Catalogue;

const ACCELERATOR_MEMORY_MIB: MemoryMib = 80 * 1_024;
const SERVICE_SHARE: f64 = 0.1;
const REGION: &str = "home";

/// Requests that an engine runs concurrently.
pub(super) const BATCH_SLOTS: u32 = 16;

/// The deployments compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentKind {
    /// Pinto Ruam Kitchen Alliance, which weights attainment more.
    Pinto,
    /// Chaji Ruzuku Labs, which weights moves more.
    Chaji,
}

/// Sizes and limits of one deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The deployment described.
    pub kind: DeploymentKind,
    /// Failure domains.
    pub domains: usize,
    /// Entry nodes, spread evenly over the domains.
    pub nodes: usize,
    /// Runners with one accelerator each, spread evenly over the domains.
    pub runners: usize,
    /// Instances of the plain service.
    pub service_instances: usize,
    /// Tenants with equal weights.
    pub tenants: usize,
    /// Declared models and adapters and the plain service.
    pub catalogue: Catalogue,
    /// Price of a move and limits on loads.
    pub policy: PolicySpec,
}

impl Deployment {
    /// Returns a deployment with the sizes that its operators state.
    pub fn new(kind: DeploymentKind) -> Self {
        match kind {
            DeploymentKind::Pinto => Self {
                kind,
                domains: 3,
                nodes: 9,
                runners: 18,
                service_instances: 3,
                tenants: 40,
                catalogue: Catalogue::new(26, 95, &"orders".into(), SERVICE_SHARE),
                policy: PolicySpec {
                    move_price: 2.0,
                    ..PolicySpec::default()
                },
            },
            DeploymentKind::Chaji => Self {
                kind,
                domains: 4,
                nodes: 8,
                runners: 18,
                service_instances: 4,
                tenants: 40,
                catalogue: Catalogue::new(21, 120, &"payouts".into(), SERVICE_SHARE),
                policy: PolicySpec {
                    move_price: 12.0,
                    store_concurrent_loads: 14,
                    adapter_loads_in_flight: 110,
                    ..PolicySpec::default()
                },
            },
        }
    }

    /// Returns the failure domain of a runner, node or service instance by its index.
    pub fn domain_of(&self, index: usize) -> usize {
        index % self.domains
    }

    /// Returns the name of a failure domain.
    pub fn domain_name(domain: usize) -> DomainId {
        format_smolstr!("d{domain}")
    }

    /// Returns the name of the only region.
    pub fn region() -> &'static str {
        REGION
    }

    /// Returns the number of backend servers; runners have the first indices, instances of the plain service the last.
    pub fn backends(&self) -> usize {
        self.runners + self.service_instances
    }

    /// Returns whether a backend server is a runner with an accelerator.
    pub fn is_runner(&self, backend: usize) -> bool {
        backend < self.runners
    }

    /// Returns the requests per second that all runners answer with full batches, without the plain service.
    pub fn capacity_per_second(&self) -> f64 {
        f64::from(self.runners as u32 * BATCH_SLOTS) / super::engine::MEAN_HOLD_S
    }

    /// Computes the base placement; runners that are not alive are expected to return.
    pub fn base_placement(&self, is_alive: impl Fn(usize) -> bool) -> BasePlacement {
        let (live, absent): (Vec<usize>, Vec<usize>) = (0..self.runners).partition(|index| is_alive(*index));
        let describe = |index: usize| DeclaredRunner {
            backend: format_smolstr!("r{index}"),
            domain: Self::domain_name(self.domain_of(index)),
            region: REGION.into(),
            accelerators: vec![ACCELERATOR_MEMORY_MIB],
        };
        BasePlacement::compute(&BaseInput {
            artifacts: self.catalogue.declared(),
            runners: live.into_iter().map(describe).collect(),
            absent: absent.into_iter().map(describe).collect(),
        })
    }

    /// Returns the entries that each runner holds at the start under every policy but the upper bound: the base
    /// placement, and further replicas by popularity in the memory that is left.
    pub fn initial_holdings(&self) -> Vec<Vec<usize>> {
        let mut holdings = vec![Vec::new(); self.runners];
        let mut free = vec![ACCELERATOR_MEMORY_MIB; self.runners];
        let placement = self.base_placement(|_| true);
        for (index, entry) in self.catalogue.entries.iter().enumerate() {
            for replica in placement.replicas.get(&entry.artifact).into_iter().flatten() {
                let runner = backend_index(&replica.place.backend);
                holdings[runner].push(index);
                free[runner] -= entry.memory_mib;
            }
        }
        self.fill_by_popularity(&mut holdings, &mut free);
        holdings
    }

    fn fill_by_popularity(&self, holdings: &mut [Vec<usize>], free: &mut [MemoryMib]) {
        let models = self.catalogue.models;
        let demand = self.model_popularity();
        let mut replicas: Vec<f64> = (0..models)
            .map(|model| holdings.iter().filter(|held| held.contains(&model)).count() as f64)
            .collect();
        let mut is_open = vec![true; models];
        while let Some(model) = (0..models).filter(|model| is_open[*model]).max_by(|left, right| {
            let demand_per_replica = |model: usize| demand[&model] / replicas[model].max(0.5);
            demand_per_replica(*left).total_cmp(&demand_per_replica(*right))
        }) {
            let family: Vec<usize> = (0..self.catalogue.service_index())
                .filter(|index| self.catalogue.entries[*index].model == Some(model))
                .collect();
            let size: MemoryMib = family
                .iter()
                .map(|index| self.catalogue.entries[*index].memory_mib)
                .sum();
            let place = (0..self.runners)
                .filter(|runner| free[*runner] >= size && !holdings[*runner].contains(&model))
                .max_by_key(|runner| free[*runner]);
            match place {
                Some(runner) => {
                    holdings[runner].extend(family);
                    free[runner] -= size;
                    replicas[model] += 1.0;
                }
                None => is_open[model] = false,
            }
        }
    }

    fn model_popularity(&self) -> BTreeMap<usize, f64> {
        let mut demand = BTreeMap::new();
        for entry in &self.catalogue.entries {
            if let Some(model) = entry.model {
                *demand.entry(model).or_default() += entry.popularity;
            }
        }
        demand
    }
}

/// Returns the index of a backend server from its name.
pub(super) fn backend_index(backend: &str) -> usize {
    backend[1..].parse().expect("backend servers are named by index")
}

/// Returns the memory of each accelerator.
pub(super) fn accelerator_memory_mib() -> MemoryMib {
    ACCELERATOR_MEMORY_MIB
}
