//! Gain placement: priority of base replicas, memory and load limits, last replicas, hysteresis and residence; and the
//! demand forecast.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use mustardgate_core::{
    log::Artifact,
    placement::{
        AcceleratorView, ArtifactDemand, BaseAssignment, DomainView, Holding, HoldingState, PlacementPolicy,
        PlannedMove, RunnerView,
        demand::{DemandEstimator, DemandSettings},
        gain::{GainPolicy, GainSettings, RemoteReplicas},
    },
    resources::{PolicySpec, PriorityClass},
};
use proptest::prelude::*;
use smol_str::format_smolstr;

fn model(index: usize) -> Artifact {
    Artifact {
        model: format_smolstr!("m{index}"),
        adapter: None,
        version: "1".into(),
    }
}

fn holding(index: usize, memory_mib: u64) -> Holding {
    Holding {
        artifact: model(index),
        memory_mib,
        state: HoldingState::Resident,
    }
}

fn demand(index: usize, memory_mib: u64, requests_per_second: f64, base_runners: &[usize]) -> ArtifactDemand {
    ArtifactDemand {
        artifact: model(index),
        memory_mib,
        requests_per_second,
        priority: PriorityClass::Standard,
        base_assignments: base_runners
            .iter()
            .map(|runner| BaseAssignment {
                backend: format_smolstr!("r{runner}"),
                accelerator: 0,
            })
            .collect(),
    }
}

fn view(runners: Vec<Vec<Holding>>, demands: Vec<ArtifactDemand>) -> DomainView {
    let runners = runners.into_iter().enumerate().map(|(index, holdings)| RunnerView {
        backend: format_smolstr!("r{index}"),
        is_unschedulable: false,
        request_capacity: 10,
        request_limit: None,
        accelerators: vec![AcceleratorView {
            capacity_mib: 100,
            holdings,
        }],
    });
    DomainView {
        runners: runners.collect(),
        demands,
        policy: PolicySpec::default(),
        model_loads_in_flight: 0,
        adapter_loads_in_flight: 0,
    }
}

fn plan_at(policy: &mut GainPolicy, start: Instant, seconds: u64, view: &DomainView) -> Vec<PlannedMove> {
    policy.plan(start + Duration::from_secs(seconds), view)
}

fn policy() -> GainPolicy {
    GainPolicy::new(GainSettings::default())
}

#[test]
fn base_replicas_are_loaded_first() {
    let view = view(
        vec![vec![], vec![]],
        vec![demand(0, 60, 0.0, &[1]), demand(1, 60, 50.0, &[])],
    );
    let moves = plan_at(&mut policy(), Instant::now(), 0, &view);
    assert!(
        matches!(&moves[0], PlannedMove::Load { backend, artifact, .. } if backend == "r1" && *artifact == model(0)),
        "{moves:?}"
    );
}

#[test]
fn a_model_with_late_requests_gets_a_replica_and_one_without_does_not() {
    for (rate, expected) in [(3.0, 0), (14.0, 1)] {
        let view = view(vec![vec![holding(0, 60)], vec![]], vec![demand(0, 60, rate, &[0])]);
        let moves = plan_at(&mut policy(), Instant::now(), 0, &view);
        assert_eq!(moves.len(), expected, "{rate}: {moves:?}");
    }
}

#[test]
fn moves_with_a_gain_below_their_price_are_not_planned() {
    let mut view = view(vec![vec![holding(0, 60)], vec![]], vec![demand(0, 60, 8.0, &[0])]);
    view.policy.move_price = 0.1;
    assert_eq!(plan_at(&mut policy(), Instant::now(), 0, &view).len(), 1);
    view.policy.move_price = 50.0;
    assert!(plan_at(&mut policy(), Instant::now(), 0, &view).is_empty());
}

#[test]
fn a_replica_is_evicted_only_after_its_minimum_residence_and_never_the_last() {
    let start = Instant::now();
    let view = view(
        vec![vec![holding(0, 60)], vec![holding(1, 60)], vec![holding(1, 60)]],
        vec![demand(0, 60, 20.0, &[0]), demand(1, 60, 0.5, &[1])],
    );
    let mut policy = policy();
    assert!(plan_at(&mut policy, start, 0, &view).is_empty());
    let moves = plan_at(&mut policy, start, 61, &view);
    let expected = PlannedMove::Unload {
        backend: "r2".into(),
        accelerator: 0,
        artifact: model(1),
    };
    assert_eq!(moves, [expected]);
}

#[test]
fn the_only_local_replica_is_evicted_when_a_remote_base_replica_is_ready() {
    let start = Instant::now();
    let view = view(
        vec![vec![holding(0, 60)], vec![holding(1, 60)]],
        vec![demand(0, 60, 20.0, &[0]), demand(1, 60, 0.5, &[])],
    );
    let mut policy = policy();
    assert!(plan_at(&mut policy, start, 0, &view).is_empty());
    assert!(plan_at(&mut policy, start, 61, &view).is_empty());
    let remote = RemoteReplicas {
        ready: 1,
        utilisation: 0.1,
    };
    policy.set_remote_replicas(BTreeMap::from([(model(1), remote)]));
    assert_eq!(plan_at(&mut policy, start, 62, &view).len(), 1);
}

#[test]
fn loads_are_limited_in_rate_and_concurrency() {
    let start = Instant::now();
    let demands: Vec<ArtifactDemand> = (0..6).map(|index| demand(index, 10, 0.0, &[0])).collect();
    let mut view = view(vec![vec![]], demands);
    let mut policy = policy();
    assert_eq!(plan_at(&mut policy, start, 0, &view).len(), 1);
    assert_eq!(plan_at(&mut policy, start, 1, &view).len(), 2);
    view.model_loads_in_flight = 13;
    assert!(plan_at(&mut policy, start, 9, &view).is_empty());
}

#[test]
fn growing_demand_is_extrapolated_and_a_lull_lowers_the_forecast_slowly() {
    let start = Instant::now();
    let mut estimator = DemandEstimator::new(DemandSettings::default());
    let mut observe_and_forecast = |second: u64, count: f64| {
        let arrivals = BTreeMap::from([(model(0), count)]);
        estimator.observe(start + Duration::from_secs(second), &arrivals);
        estimator.forecast(&model(0))
    };
    let steady = (0..200)
        .map(|second| observe_and_forecast(second, 10.0))
        .last()
        .expect("observed");
    assert!((steady - 10.0).abs() < 0.5, "{steady}");
    let grown = (200..260)
        .map(|second| observe_and_forecast(second, second as f64 - 190.0))
        .last()
        .expect("observed");
    assert!(grown > 72.0, "the rate now is 69, ten seconds later 79: {grown}");
    let fallen = (260..265)
        .map(|second| observe_and_forecast(second, 0.0))
        .last()
        .expect("observed");
    assert!(fallen > 20.0, "{fallen}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn plans_respect_memory_load_limits_and_last_replicas(
        resident in prop::collection::vec(prop::collection::btree_set(0_usize..8, 0..4), 1..6),
        rates in prop::collection::vec(0.0_f64..40.0, 8),
        base_runners in prop::collection::vec(0_usize..6, 8),
        loads_in_flight in 0_u32..14,
    ) {
        let start = Instant::now();
        let sizes = [10, 15, 20, 25, 30, 12, 18, 22];
        let runners = resident.len();
        let holdings = resident
            .iter()
            .map(|held| held.iter().map(|index| holding(*index, sizes[*index])).collect())
            .collect();
        let demands = (0..8).map(|index| demand(index, sizes[index], rates[index], &[base_runners[index] % runners]));
        let mut view = view(holdings, demands.collect());
        view.model_loads_in_flight = loads_in_flight;
        let mut policy = policy();
        for second in [0, 100, 200] {
            let moves = plan_at(&mut policy, start, second, &view);
            let loads = moves.iter().filter(|planned| matches!(planned, PlannedMove::Load { .. })).count();
            prop_assert!(loads as u32 <= 13_u32.saturating_sub(loads_in_flight).min(3));
            for planned in moves {
                apply(&mut view, planned)?;
            }
        }
    }
}

/// Checks a move against the state of the domain, then applies it at once.
fn apply(view: &mut DomainView, planned: PlannedMove) -> Result<(), TestCaseError> {
    match planned {
        PlannedMove::Load {
            backend,
            artifact,
            memory_mib,
            ..
        } => {
            let runner = view
                .runners
                .iter_mut()
                .find(|runner| runner.backend == backend)
                .expect("known");
            prop_assert!(runner.accelerators[0].free_mib() >= memory_mib);
            prop_assert!(
                runner.accelerators[0]
                    .holdings
                    .iter()
                    .all(|held| held.artifact != artifact)
            );
            runner.accelerators[0].holdings.push(Holding {
                artifact,
                memory_mib,
                state: HoldingState::Resident,
            });
        }
        PlannedMove::Unload { backend, artifact, .. } => {
            let ready = view
                .runners
                .iter()
                .flat_map(|runner| &runner.accelerators[0].holdings)
                .filter(|held| held.artifact == artifact)
                .count();
            prop_assert!(ready >= 2, "the last replica of {artifact:?} is evicted");
            let demand = view
                .demands
                .iter()
                .find(|demand| demand.artifact == artifact)
                .expect("declared");
            prop_assert!(demand.base_assignments.iter().all(|base| base.backend != backend));
            let runner = view
                .runners
                .iter_mut()
                .find(|runner| runner.backend == backend)
                .expect("known");
            runner.accelerators[0].holdings.retain(|held| held.artifact != artifact);
        }
    }
    Ok(())
}
