//! Work of a placement plan as a fleet grows.

use std::time::{Duration, Instant};

use mustardgate_core::{
    log::Artifact,
    placement::{
        AcceleratorView, ArtifactDemand, DomainView, PlacementPolicy, PlannedMove, RunnerView,
        share::{LoadBound, SharePolicy, ShareSettings},
    },
    relay::{PlacementPlanner, PlannerSettings},
    resources::PriorityClass,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use crate::plan_fleet::{PLAN_INTERVAL, arrivals, engine, fleet, model};

fn artifact(index: usize) -> Artifact {
    Artifact {
        model: model(index),
        adapter: None,
        version: "".into(),
    }
}

/// Returns the models and runners that the last of some plans looked at, while demand falls with the rank of a model.
fn steps_of_a_plan(runners: usize, models: usize) -> u64 {
    let (engine, fleet) = (engine(models), fleet(runners, models));
    let mut planner = PlacementPlanner::new(PlannerSettings::default());
    let mut now = Instant::now();
    for _ in 0..5 {
        now += PLAN_INTERVAL;
        planner.observe_demand(now, &arrivals(runners, models));
        planner.plan(now, &engine, &fleet);
    }
    let effort = planner.effort();
    effort.models + effort.runners
}

// Guards against SHORT: plans that took all of a leader's processor time at the size of a large fleet.
#[test]
fn the_work_of_a_plan_grows_with_the_fleet_and_not_with_its_square() {
    for (runners, models) in [(140, 242), (240, 336), (1_600, 810)] {
        let steps = steps_of_a_plan(runners, models);
        // Each model is looked at for its targets and for each replica, each runner for a share of the replicas.
        let replicas = 2 * runners;
        let most = 8 * (models + replicas) as u64;
        assert!(
            steps <= most,
            "{steps} steps for {runners} runners and {models} models, at most {most} expected"
        );
    }
}

/// Returns the replicas of each model by giving out one at a time to the model with the highest rate for each replica, the
/// last of several.
fn reference_replicas(rates: &[u32], runners: usize, comfortable_rate: f64) -> Vec<usize> {
    let mut replicas = vec![1; rates.len()];
    loop {
        let rate = |model: usize| f64::from(rates[model]) / replicas[model] as f64;
        let open = (0..rates.len()).filter(|model| replicas[*model] < runners);
        let Some(busiest) = open.max_by(|one, other| rate(*one).total_cmp(&rate(*other))) else {
            return replicas;
        };
        if rate(busiest) <= comfortable_rate || replicas.iter().sum::<usize>() >= runners {
            return replicas;
        }
        replicas[busiest] += 1;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(56), ..ProptestConfig::default() })]
    // Guards against a faster division of the memory that gives other models replicas, also among equal rates.
    #[test]
    fn empty_runners_get_the_replicas_of_a_plain_division(rates in vec(0_u32..6, 1..12), spare in 0_usize..20) {
        const WEIGHTS_MIB: u64 = 100;
        const CAPACITY: u32 = 1;
        let runners = rates.len() + spare;
        let demands = rates.iter().zip(0..).map(|(rate, index)| ArtifactDemand {
            artifact: artifact(index),
            memory_mib: WEIGHTS_MIB,
            requests_per_second: f64::from(*rate),
            priority: PriorityClass::Interactive,
            base_assignments: Vec::new(),
        });
        let views = (0..runners).map(|index| RunnerView {
            backend: format!("r{index:04}").into(),
            request_capacity: CAPACITY,
            accelerators: vec![AcceleratorView { capacity_mib: WEIGHTS_MIB, holdings: Vec::new() }],
            ..RunnerView::default()
        });
        let view = DomainView { demands: demands.collect(), runners: views.collect(), ..DomainView::default() };
        let settings = ShareSettings::default();
        let mut policy = SharePolicy::new(settings);
        policy.set_bound(LoadBound { window: Duration::from_secs(5), max_loads: 1_000 });
        let moves = policy.plan(Instant::now(), &view);
        let loads = |wanted: &Artifact| {
            let is_load = |planned: &&PlannedMove| matches!(planned, PlannedMove::Load { artifact, .. } if artifact == wanted);
            moves.iter().filter(is_load).count()
        };
        let planned: Vec<usize> = (0..rates.len()).map(|index| loads(&artifact(index))).collect();
        let comfortable_rate = f64::from(CAPACITY) * settings.comfortable_utilisation;
        prop_assert_eq!(planned, reference_replicas(&rates, runners, comfortable_rate));
    }
}
