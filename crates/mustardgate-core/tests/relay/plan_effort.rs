//! Work of a placement plan as a fleet grows.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::ModelId,
    relay::{EngineProfile, ModelProfile, PlacementPlanner, PlannerSettings, RunnerHoldings},
};

fn model(index: usize) -> ModelId {
    format!("m{index:03}").into()
}

/// Returns an engine with room for two models a runner.
fn engine(models: usize) -> EngineProfile {
    let profile = ModelProfile {
        weights_mb: 72_700.0,
        load_time: Duration::from_millis(6_400),
        cached_load_time: Duration::from_millis(1_300),
        adapter_mb: 66.0,
        adapters: 0,
    };
    EngineProfile {
        slots: 64,
        kv_capacity_tokens: 160_000,
        weights_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_s: 43.0,
        models: (0..models).map(|index| (model(index), profile.clone())).collect(),
    }
}

/// Returns runners that hold two models each.
fn fleet(runners: usize, models: usize) -> Vec<RunnerHoldings> {
    let runners = (0..runners).map(|index| {
        let resident = [model(index % models), model((index + runners / 2) % models)];
        RunnerHoldings {
            backend: format!("r{index:04}").into(),
            is_usable: true,
            resident: resident.iter().cloned().collect(),
            cached: resident.into(),
            ..RunnerHoldings::default()
        }
    });
    runners.collect()
}

/// Returns the models and runners that the last of some plans looked at, while demand falls with the rank of a model.
fn steps_of_a_plan(runners: usize, models: usize) -> u64 {
    let (engine, fleet) = (engine(models), fleet(runners, models));
    let mut planner = PlacementPlanner::new(PlannerSettings::default());
    let mut now = Instant::now();
    for _ in 0..5 {
        now += Duration::from_millis(400);
        let arrivals = (0..models).map(|index| (model(index), 3.0 * runners as f64 / (index + 1) as f64));
        planner.observe_demand(now, &arrivals.collect());
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
