//! Benchmark of one placement plan of a relay's leader, from the size of a small deployment to the size to design for.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion};
use mustardgate_core::{
    ids::ModelId,
    relay::{EngineProfile, ModelProfile, PlacementPlanner, PlannerSettings, RunnerHoldings},
};

/// Runners and models.
const SIZES: [(usize, usize); 4] = [(18, 25), (140, 242), (240, 336), (1_600, 810)];
const PLAN_INTERVAL: Duration = Duration::from_millis(400);

fn model(index: usize) -> ModelId {
    format!("m{index:03}").into()
}

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

fn plan(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("relay plan");
    group.sample_size(10);
    for (runners, models) in SIZES {
        let (engine, fleet) = (engine(models), fleet(runners, models));
        let mut planner = PlacementPlanner::new(PlannerSettings::default());
        let mut now = Instant::now();
        let id = BenchmarkId::from_parameter(format!("{runners} runners, {models} models"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                now += PLAN_INTERVAL;
                let arrivals = (0..models).map(|index| (model(index), 3.0 * runners as f64 / (index + 1) as f64));
                planner.observe_demand(now, &arrivals.collect());
                black_box(planner.plan(now, &engine, &fleet))
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    plan(&mut criterion);
    criterion.final_summary();
}
