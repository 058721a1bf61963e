//! Benchmark of one placement plan of a relay's leader, from the size of a small deployment to the size to design for.

#[path = "../tests/relay/plan_fleet.rs"]
mod plan_fleet;

use std::{hint::black_box, time::Instant};

use criterion::{BenchmarkId, Criterion};
use mustardgate_core::relay::{PlacementPlanner, PlannerSettings};

use self::plan_fleet::{PLAN_INTERVAL, arrivals, engine, fleet};

/// Runners and models.
const SIZES: [(usize, usize); 4] = [(18, 25), (140, 242), (240, 336), (1_600, 810)];

fn plan(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("relay plan");
    group.sample_size(10);
    for (runners, models) in SIZES {
        let (engine, runners_held) = (engine(models), fleet(runners, models));
        let mut planner = PlacementPlanner::new(PlannerSettings::default());
        let mut now = Instant::now();
        let id = BenchmarkId::from_parameter(format!("{runners} runners, {models} models"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                now += PLAN_INTERVAL;
                planner.observe_demand(now, &arrivals(runners, models));
                black_box(planner.plan(now, &engine, &runners_held))
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
