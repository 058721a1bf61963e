//! A fleet with two models on each runner, for the test and the benchmark of plans.

use std::{collections::BTreeMap, time::Duration};

use mustardgate_core::{
    ids::ModelId,
    relay::{EngineProfile, ModelProfile, RunnerHoldings},
};

/// Time between two plans.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(400);

pub fn model(index: usize) -> ModelId {
    format!("m{index:03}").into()
}

/// Returns an engine with room for two models a runner.
pub fn engine(models: usize) -> EngineProfile {
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

pub fn fleet(runners: usize, models: usize) -> Vec<RunnerHoldings> {
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

/// Returns the requests between two plans; demand falls with the rank of a model.
pub fn arrivals(runners: usize, models: usize) -> BTreeMap<ModelId, f64> {
    (0..models)
        .map(|index| (model(index), 3.0 * runners as f64 / (index + 1) as f64))
        .collect()
}
