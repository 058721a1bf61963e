//! All runs of the experiment, and the targets that their figures are checked against.

use std::{
    collections::BTreeMap,
    num::NonZero,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{
    Deployment, DeploymentKind, PolicyKind, RunFigures, ScenarioKind, generate_arrivals, run_once,
    summary::SeedStatistics,
};

const FAIR_RATIO_MIN: f64 = 0.8;
const RECOVERY_MAX_S: f64 = 30.0;
const REFUSAL_DELAY_MAX_MS: f64 = 5.0;

/// What to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentOptions {
    /// Deployments to run.
    pub deployments: Vec<DeploymentKind>,
    /// Scenarios to run; figures over all scenarios are over those listed here.
    pub scenarios: Vec<ScenarioKind>,
    /// Number of seeds, counted from 1.
    pub seeds: u64,
}

/// One run with its figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunRecord {
    /// Deployment.
    pub deployment: DeploymentKind,
    /// Scenario.
    pub scenario: ScenarioKind,
    /// Policy.
    pub policy: PolicyKind,
    /// Seed.
    pub seed: u64,
    /// Figures of the run.
    pub figures: RunFigures,
}

/// Statistics of one policy in one scenario, or over all scenarios.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PolicySummary {
    /// Deployment.
    pub deployment: DeploymentKind,
    /// Scenario, or `None` for the mean over all of them.
    pub scenario: Option<ScenarioKind>,
    /// Policy.
    pub policy: PolicyKind,
    /// Requests answered within target for each accelerator and second.
    pub attainment_per_accelerator: SeedStatistics,
    /// Attainment as a share of the upper bound's on the same seed.
    pub share_of_upper_bound: SeedStatistics,
    /// Loads and unloads.
    pub moves: SeedStatistics,
    /// Median time to the first token in milliseconds.
    pub first_token_p50_ms: SeedStatistics,
    /// 99th percentile of the time to the first token in milliseconds.
    pub first_token_p99_ms: SeedStatistics,
    /// Requests refused.
    pub refused: SeedStatistics,
    /// 99th percentile of the time from arrival to refusal in milliseconds.
    pub refusal_told_p99_ms: SeedStatistics,
    /// Share of its requests answered within target, for the tenant with the fewest requests.
    pub smallest_tenant_share: SeedStatistics,
    /// Share of its requests answered within target, for the tenant with the most requests.
    pub largest_tenant_share: SeedStatistics,
    /// Smallest ratio of a tenant's requests answered within target to its fair share.
    pub worst_fair_ratio: SeedStatistics,
    /// Seconds after the overload until queues are back at their former level.
    pub recovery_s: Option<SeedStatistics>,
}

/// A target that was missed.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[display("{target}: {measured:.3}, wanted {wanted:.3}")]
pub struct MissedTarget {
    /// The target.
    pub target: String,
    /// Measured figure.
    pub measured: f64,
    /// Smallest or largest figure that meets the target.
    pub wanted: f64,
}

/// Results of the experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExperimentReport {
    /// Number of seeds.
    pub seeds: u64,
    /// Statistics by deployment, scenario and policy.
    pub summaries: Vec<PolicySummary>,
    /// Ratio of the product's attainment to the better baseline's by deployment, median over seeds.
    pub attainment_ratios: BTreeMap<DeploymentKind, f64>,
    /// Ratio of the product's moves to those of load on demand by deployment, median over seeds.
    pub move_ratios: BTreeMap<DeploymentKind, f64>,
    /// Targets missed.
    pub missed: Vec<MissedTarget>,
    /// Every run.
    pub runs: Vec<RunRecord>,
}

/// Runs every policy in every deployment and scenario asked for, on all cores.
pub fn run_experiment(options: &ExperimentOptions) -> ExperimentReport {
    let mut jobs = Vec::new();
    for deployment in &options.deployments {
        for scenario in &options.scenarios {
            jobs.extend((1..=options.seeds).map(|seed| (*deployment, *scenario, seed)));
        }
    }
    let next = AtomicUsize::new(0);
    let runs = Mutex::new(Vec::new());
    let workers = thread::available_parallelism().map_or(1, NonZero::get);
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                while let Some((deployment, scenario, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let records = run_policies(*deployment, *scenario, *seed);
                    runs.lock().expect("no holder of the lock panics").extend(records);
                }
            });
        }
    });
    let mut runs = runs.into_inner().expect("no holder of the lock panics");
    runs.sort_by_key(|run| (run.deployment, run.scenario, run.policy, run.seed));
    ExperimentReport::of(options, runs)
}

fn run_policies(kind: DeploymentKind, scenario: ScenarioKind, seed: u64) -> Vec<RunRecord> {
    let deployment = Deployment::new(kind);
    let arrivals = generate_arrivals(&deployment, scenario, seed);
    PolicyKind::ALL
        .into_iter()
        .map(|policy| RunRecord {
            deployment: kind,
            scenario,
            policy,
            seed,
            figures: run_once(&deployment, scenario, seed, policy, &arrivals),
        })
        .collect()
}

impl ExperimentReport {
    fn of(options: &ExperimentOptions, runs: Vec<RunRecord>) -> Self {
        let mut report = Self {
            seeds: options.seeds,
            summaries: Vec::new(),
            attainment_ratios: BTreeMap::new(),
            move_ratios: BTreeMap::new(),
            missed: Vec::new(),
            runs,
        };
        for deployment in &options.deployments {
            report.summarise(*deployment, &options.scenarios);
            report.check_ratios(*deployment);
            report.check_product(*deployment, &options.scenarios);
        }
        report
    }

    fn summarise(&mut self, deployment: DeploymentKind, scenarios: &[ScenarioKind]) {
        for scenario in scenarios.iter().copied().map(Some).chain([None]) {
            for policy in PolicyKind::ALL {
                let summary = self.summary(deployment, scenario, policy);
                self.summaries.push(summary);
            }
        }
    }

    fn summary(&self, deployment: DeploymentKind, scenario: Option<ScenarioKind>, policy: PolicyKind) -> PolicySummary {
        let by_seed = |policy, read: fn(&RunFigures) -> f64| self.by_seed(deployment, scenario, policy, read);
        let statistics = |read: fn(&RunFigures) -> f64| SeedStatistics::of(&by_seed(policy, read));
        let attainment = |policy| by_seed(policy, |figures| figures.attainment_per_accelerator);
        let has_overload = scenario == Some(ScenarioKind::Overload);
        PolicySummary {
            deployment,
            scenario,
            policy,
            attainment_per_accelerator: SeedStatistics::of(&attainment(policy)),
            share_of_upper_bound: SeedStatistics::of(&ratios(&attainment(policy), &attainment(PolicyKind::UpperBound))),
            moves: statistics(|figures| figures.moves as f64),
            first_token_p50_ms: statistics(|figures| figures.first_token_p50_ms),
            first_token_p99_ms: statistics(|figures| figures.first_token_p99_ms),
            refused: statistics(|figures| figures.refused as f64),
            refusal_told_p99_ms: statistics(|figures| figures.refusal_told_p99_ms),
            smallest_tenant_share: statistics(|figures| figures.smallest_tenant_share),
            largest_tenant_share: statistics(|figures| figures.largest_tenant_share),
            worst_fair_ratio: statistics(|figures| figures.worst_fair_ratio),
            recovery_s: has_overload.then(|| statistics(|figures| figures.recovery_s.unwrap_or(f64::INFINITY))),
        }
    }

    /// Returns one value for each seed: that of the given scenario or, for `None`, the mean over all scenarios run.
    fn by_seed(
        &self,
        deployment: DeploymentKind,
        scenario: Option<ScenarioKind>,
        policy: PolicyKind,
        read: fn(&RunFigures) -> f64,
    ) -> Vec<f64> {
        let mut values: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
        for run in &self.runs {
            let is_wanted = run.deployment == deployment
                && run.policy == policy
                && scenario.is_none_or(|scenario| scenario == run.scenario);
            if is_wanted {
                values.entry(run.seed).or_default().push(read(&run.figures));
            }
        }
        let mean = |values: &Vec<f64>| values.iter().sum::<f64>() / values.len() as f64;
        values.values().map(mean).collect()
    }

    fn check_ratios(&mut self, deployment: DeploymentKind) {
        let attainment = |policy| self.by_seed(deployment, None, policy, |run| run.attainment_per_accelerator);
        let moves = |policy| self.by_seed(deployment, None, policy, |run| run.moves as f64);
        let product = attainment(PolicyKind::Product);
        let median = |values: &[f64]| SeedStatistics::of(values).median;
        let against = |policy| median(&ratios(&product, &attainment(policy)));
        let on_demand = against(PolicyKind::OnDemand);
        let ratio = against(PolicyKind::Static).min(on_demand);
        let move_ratio = median(&ratios(&moves(PolicyKind::Product), &moves(PolicyKind::OnDemand)));
        self.attainment_ratios.insert(deployment, ratio);
        self.move_ratios.insert(deployment, move_ratio);
        let name = |target: &str| format!("{deployment:?}: {target}");
        let wanted = match deployment {
            DeploymentKind::Pinto => 1.3,
            DeploymentKind::Chaji => 1.15,
        };
        self.require_at_least(name("attainment against the better baseline"), ratio, wanted);
        if deployment == DeploymentKind::Chaji {
            self.require_at_most(name("moves against load on demand"), move_ratio, 0.5);
            self.require_at_least(name("attainment against load on demand"), on_demand, 1.0);
        }
    }

    /// Checks the product's figures in each scenario against the targets, by the median or the maximum over seeds.
    fn check_product(&mut self, deployment: DeploymentKind, scenarios: &[ScenarioKind]) {
        let policy = Deployment::new(deployment).policy;
        for scenario in scenarios.iter().copied() {
            let median = |read: fn(&RunFigures) -> f64| {
                let values = self.by_seed(deployment, Some(scenario), PolicyKind::Product, read);
                SeedStatistics::of(&values).median
            };
            let max = |read: fn(&RunFigures) -> f64| {
                let values = self.by_seed(deployment, Some(scenario), PolicyKind::Product, read);
                SeedStatistics::of(&values).max
            };
            let fair = median(|run| run.worst_fair_ratio);
            let recovery = median(|run| run.recovery_s.unwrap_or_default());
            let limits = [
                (
                    "declared artifacts without an answer",
                    median(|run| run.unanswered_entries as f64),
                    0.0,
                ),
                (
                    "longest delay of a refusal in ms",
                    max(|run| run.refusal_delay_max_ms),
                    REFUSAL_DELAY_MAX_MS,
                ),
                (
                    "refusals without a time to come back",
                    max(|run| run.refusals_without_time as f64),
                    0.0,
                ),
                ("seconds to recover from overload", recovery, RECOVERY_MAX_S),
                (
                    "model loads in flight",
                    max(|run| f64::from(run.most_model_loads)),
                    f64::from(policy.store_concurrent_loads),
                ),
                (
                    "adapter loads in flight",
                    max(|run| f64::from(run.most_adapter_loads)),
                    f64::from(policy.adapter_loads_in_flight),
                ),
            ];
            let name = |target: &str| format!("{deployment:?}, {scenario}: {target}");
            self.require_at_least(name("smallest share of a fair share"), fair, FAIR_RATIO_MIN);
            for (target, measured, wanted) in limits {
                self.require_at_most(name(target), measured, wanted);
            }
        }
    }

    fn require_at_least(&mut self, target: String, measured: f64, wanted: f64) {
        if measured.is_nan() || measured < wanted {
            self.missed.push(MissedTarget {
                target,
                measured,
                wanted,
            });
        }
    }

    fn require_at_most(&mut self, target: String, measured: f64, wanted: f64) {
        if measured.is_nan() || measured > wanted {
            self.missed.push(MissedTarget {
                target,
                measured,
                wanted,
            });
        }
    }
}

fn ratios(values: &[f64], against: &[f64]) -> Vec<f64> {
    values.iter().zip(against).map(|(value, other)| value / other).collect()
}
