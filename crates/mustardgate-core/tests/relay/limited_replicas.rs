//! Placement beside a runner that states a rate limit.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use mustardgate_core::relay::{
    EngineProfile, ModelProfile, OrderKind, PlacementOrder, PlacementPlanner, PlannerSettings, RunnerHoldings,
};

const LIMITED: &str = "engine-1";

/// Returns the loads that are planned over some seconds for a model whose only replica is on a runner with a limit.
fn planned_loads(request_limit: Option<f64>) -> Vec<PlacementOrder> {
    let profile = ModelProfile {
        weights_mb: 100.0,
        load_time: Duration::from_secs(3),
        cached_load_time: Duration::from_secs(1),
        adapter_mb: 1.0,
        adapters: 0,
    };
    let engine = EngineProfile {
        slots: 64,
        kv_capacity_tokens: 100_000,
        weights_mb: 200.0,
        adapter_slots: 0,
        loads_per_s: 2.4,
        models: [("busy".into(), profile.clone()), ("calm".into(), profile)].into(),
    };
    let runner = |backend: &str, model: &str, request_limit| RunnerHoldings {
        backend: backend.into(),
        is_usable: true,
        request_limit,
        resident: [model.into()].into(),
        cached: [model.into()].into(),
        ..RunnerHoldings::default()
    };
    let runners = [
        runner(LIMITED, "busy", request_limit),
        runner("engine-2", "calm", None),
        runner("engine-3", "calm", None),
    ];
    let mut planner = PlacementPlanner::new(PlannerSettings::default());
    let start = Instant::now();
    let rates = [("busy", 4.0), ("calm", 0.5)];
    let steps = (1..=25).flat_map(|step| {
        let now = start + Duration::from_millis(400) * step;
        let arrivals: BTreeMap<_, _> = rates
            .iter()
            .map(|(model, rate)| ((*model).into(), rate * 0.4))
            .collect();
        planner.observe_demand(now, &arrivals);
        planner.plan(now, &engine, &runners)
    });
    steps.filter(|order| order.kind == OrderKind::Load).collect()
}

#[test]
fn a_model_whose_runner_takes_too_few_requests_is_loaded_on_another() {
    let loads = planned_loads(Some(1.2));
    let busy: Vec<_> = loads.iter().filter(|order| order.name.model == "busy").collect();
    assert!(!busy.is_empty());
    assert!(busy.iter().all(|order| order.backend != LIMITED));
    for limit in [None, Some(40.0)] {
        let loads = planned_loads(limit);
        assert!(loads.iter().all(|order| order.name.model != "busy"), "{loads:?}");
    }
}
