//! Benchmarks of the decisions for one request and for one placement round, at the current and the target size of a
//! deployment.

use std::{
    collections::BTreeMap,
    hint::black_box,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion};
use mustardgate_core::{
    admission::{AdmissionLimits, AdmissionQueue, QueuedRequest},
    log::Artifact,
    placement::{
        AcceleratorView, ArtifactDemand, DomainView, Holding, HoldingState, PlacementPolicy, RunnerView,
        base::{BaseInput, BasePlacement, DeclaredArtifact, DeclaredRunner},
        gain::{GainPolicy, GainSettings},
    },
    resources::{PolicySpec, PriorityClass},
    routing::{AttemptOutcome, Locality, RouteRequest, RoutingSettings, RunnerProfile, RunnerSelector},
};
use smol_str::{SmolStr, format_smolstr};

const REGION: &str = "home";
const ACCELERATOR_MEMORY_MIB: u64 = 80 * 1_024;
const MODEL_MEMORY_MIB: u64 = 16 * 1_024;
const BATCH_SLOTS: u32 = 16;
const CURRENT_SIZE: DomainSize = DomainSize {
    runners: 6,
    models: 26,
    accelerators: 1,
};
const TARGET_SIZE: DomainSize = DomainSize {
    runners: 70,
    models: 810,
    accelerators: 4,
};

#[derive(Clone, Copy, Debug)]
struct DomainSize {
    runners: usize,
    models: usize,
    accelerators: usize,
}

impl DomainSize {
    fn label(self) -> SmolStr {
        format_smolstr!("{} runners, {} models", self.runners, self.models)
    }
}

fn model(index: usize) -> Artifact {
    Artifact {
        model: format_smolstr!("m{index}"),
        adapter: None,
        version: "1".into(),
    }
}

fn base_input(size: DomainSize, domains: usize) -> BaseInput {
    BaseInput {
        artifacts: (0..size.models)
            .map(|index| DeclaredArtifact {
                artifact: model(index),
                memory_mib: MODEL_MEMORY_MIB,
                min_replicas: 1,
            })
            .collect(),
        runners: (0..size.runners)
            .map(|index| DeclaredRunner {
                backend: format_smolstr!("r{index}"),
                domain: format_smolstr!("d{}", index % domains),
                region: REGION.into(),
                accelerators: vec![ACCELERATOR_MEMORY_MIB; size.accelerators],
            })
            .collect(),
        absent: Vec::new(),
    }
}

/// Builds a domain whose runners hold the base placement, with more demand for one model in ten than its replicas can
/// serve.
fn domain_view(size: DomainSize) -> DomainView {
    let placement = BasePlacement::compute(&base_input(size, 1));
    let holdings = |runner: usize, accelerator: usize| {
        let backend = format_smolstr!("r{runner}");
        let is_here = |artifact: &&Artifact| {
            let replicas = &placement.replicas[*artifact];
            replicas.iter().any(|replica| {
                replica.place.backend == backend && usize::from(replica.place.accelerator) == accelerator
            })
        };
        let artifacts = placement.replicas.keys().filter(is_here);
        artifacts
            .map(|artifact| Holding {
                artifact: artifact.clone(),
                memory_mib: MODEL_MEMORY_MIB,
                state: HoldingState::Resident,
            })
            .collect()
    };
    let runners = (0..size.runners).map(|runner| RunnerView {
        backend: format_smolstr!("r{runner}"),
        is_unschedulable: false,
        request_capacity: BATCH_SLOTS,
        request_limit: None,
        accelerators: (0..size.accelerators)
            .map(|accelerator| AcceleratorView {
                capacity_mib: ACCELERATOR_MEMORY_MIB,
                holdings: holdings(runner, accelerator),
            })
            .collect(),
    });
    let demands = (0..size.models).map(|index| ArtifactDemand {
        artifact: model(index),
        memory_mib: MODEL_MEMORY_MIB,
        requests_per_second: if index % 10 == 0 {
            2.0 * f64::from(BATCH_SLOTS)
        } else {
            0.1
        },
        priority: PriorityClass::Standard,
        base_assignments: placement.assignments_in_domain(&"d0".into(), &model(index)),
    });
    DomainView {
        runners: runners.collect(),
        demands: demands.collect(),
        policy: PolicySpec::default(),
        model_loads_in_flight: 0,
        adapter_loads_in_flight: 0,
    }
}

fn selector(size: DomainSize) -> RunnerSelector {
    let locality = Locality {
        domain: "d0".into(),
        region: REGION.into(),
    };
    let selector = RunnerSelector::new(RoutingSettings::default(), locality, 1);
    let placement = BasePlacement::compute(&base_input(size, 1));
    let mut ready: BTreeMap<SmolStr, Vec<Artifact>> = BTreeMap::new();
    for (artifact, replicas) in &placement.replicas {
        for replica in replicas {
            ready
                .entry(replica.place.backend.clone())
                .or_default()
                .push(artifact.clone());
        }
    }
    for (backend, ready) in ready {
        selector.upsert_runner(RunnerProfile {
            backend,
            domain: "d0".into(),
            region: REGION.into(),
            max_concurrency: BATCH_SLOTS,
            ready,
        });
    }
    selector
}

fn bench_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit, select and complete one request");
    for size in [CURRENT_SIZE, TARGET_SIZE] {
        let selector = selector(size);
        let mut queue = AdmissionQueue::new(AdmissionLimits::default(), 1);
        let now = Instant::now();
        let route = RouteRequest {
            artifact: model(0),
            prefix: Some(7),
            excluded: Vec::new(),
        };
        group.bench_function(BenchmarkId::from_parameter(size.label()), |bencher| {
            bencher.iter(|| {
                let load = selector.pool_load(now, &route.artifact);
                let request = QueuedRequest {
                    request: "1".into(),
                    pool: "m0".into(),
                    tenant: "t0".into(),
                    weight: 1,
                    class: PriorityClass::Interactive,
                    deadline: now + Duration::from_secs(10),
                    bytes: 2_000,
                    cost: 1,
                };
                let outcome = queue
                    .offer(now, request, &load)
                    .expect("the request is within the limits");
                assert!(outcome.refusal.is_none(), "an idle pool admits requests");
                let ticket = selector.select(now, &route).expect("an idle runner has a free slot");
                let taken = queue.take(&"m0".into());
                let outcome = AttemptOutcome::Answered {
                    first_token: Duration::from_millis(120),
                };
                selector
                    .complete(ticket, now, outcome)
                    .expect("the attempt is in progress");
                black_box(taken)
            });
        });
    }
    group.finish();
}

fn bench_gain(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan a gain round of one domain");
    group.sample_size(10);
    for size in [CURRENT_SIZE, TARGET_SIZE] {
        let view = domain_view(size);
        let now = Instant::now();
        group.bench_function(BenchmarkId::from_parameter(size.label()), |bencher| {
            bencher.iter(|| GainPolicy::new(GainSettings::default()).plan(now, black_box(&view)));
        });
    }
    group.finish();
}

fn bench_base(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("compute the base placement");
    group.sample_size(10);
    let target_deployment = DomainSize {
        runners: 1_600,
        ..TARGET_SIZE
    };
    let current_deployment = DomainSize {
        runners: 18,
        ..CURRENT_SIZE
    };
    for (size, domains) in [(current_deployment, 3), (TARGET_SIZE, 1), (target_deployment, 23)] {
        let input = base_input(size, domains);
        group.bench_function(BenchmarkId::from_parameter(size.label()), |bencher| {
            bencher.iter(|| BasePlacement::compute(black_box(&input)));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_request(&mut criterion);
    bench_gain(&mut criterion);
    bench_base(&mut criterion);
    criterion.final_summary();
}
