//! Costs of serving requests in a node: runner reports, routing and admission.

use std::time::{Duration, Instant};

use mustardgate::runners::RunnerTable;
use mustardgate_core::{
    admission::{AdmissionLimits, AdmissionQueue, PoolLoad, QueuedRequest},
    clock,
    ports::EngineReport,
    reports::RunnerState,
    resources::PriorityClass,
    routing::{AttemptOutcome, Locality, RouteRequest, RoutingSettings, RunnerProfile, RunnerSelector},
};
use smol_str::format_smolstr;

use super::{
    probe::{MemoryProbe, held_bytes, processor_us},
    samples,
    shared::json_bytes,
    slope::MeasuredSlope,
};

/// Models that one runner holds in the measurements.
pub const HELD_MODELS: usize = 8;
const RESIDENT: [usize; 5] = [1, 4, 8, 16, 32];
const MODELS: [usize; 5] = [50, 100, 200, 400, 810];
const RUNNERS: [usize; 5] = [100, 200, 400, 800, 1_600];
const REPLICAS: [usize; 5] = [2, 4, 8, 16, 32];
const QUEUED: [usize; 5] = [256, 512, 1_024, 2_048, 4_000];
const TABLE_RUNNERS: usize = 200;
const TENANTS: usize = 20;
const REQUEST_BYTES: usize = 4_096;

/// Measures reports, routing and admission.
pub fn measure_serving(probe: MemoryProbe) -> Vec<MeasuredSlope> {
    let mut slopes = reports(probe);
    slopes.extend(routing(probe));
    slopes.extend(admission(probe));
    slopes
}

fn runner_table(runners: usize, models: usize) -> RunnerTable {
    let table = RunnerTable::default();
    let now = clock::now();
    for runner in 0..runners {
        let first = runner * HELD_MODELS % models;
        table.update(
            &samples::backend(runner),
            RunnerState::from_report(&samples::report(1, first, HELD_MODELS)),
            now,
        );
    }
    table
}

fn reports(probe: MemoryProbe) -> Vec<MeasuredSlope> {
    let body = |count| json_bytes(&samples::report(1_000_000, 0, count));
    let parse = |count| {
        let text = serde_json::to_vec(&samples::report(1_000_000, 0, count)).expect("reports can be encoded");
        processor_us(|| drop(serde_json::from_slice::<EngineReport>(&text)))
    };
    let update = |models| {
        let table = runner_table(TABLE_RUNNERS, models);
        let now = clock::now();
        let mut runner = 0;
        processor_us(|| {
            let report = samples::report(2, runner * HELD_MODELS % models, HELD_MODELS);
            table.update(&samples::backend(runner), RunnerState::from_report(&report), now);
            runner = (runner + 1) % TABLE_RUNNERS;
        })
    };
    vec![
        MeasuredSlope::measure("report_body", "B", "model held", &RESIDENT, body),
        MeasuredSlope::measure("report_parse", "µs", "model held", &RESIDENT, parse),
        MeasuredSlope::measure("report_take", "µs", "model ready anywhere", &MODELS, update),
        MeasuredSlope::measure("board_memory", "B", "runner", &RUNNERS, |runners| {
            held_bytes(probe, || runner_table(runners, 810))
        }),
    ]
}

fn selector(runners: usize, models: impl Fn(usize) -> Vec<usize>) -> RunnerSelector {
    let locality = Locality {
        domain: samples::domain(0),
        region: samples::region(0),
    };
    let selector = RunnerSelector::new(RoutingSettings::default(), locality, 1);
    for runner in 0..runners {
        selector.upsert_runner(RunnerProfile {
            backend: samples::backend(runner),
            domain: samples::domain(runner % samples::DOMAINS),
            region: samples::region(runner % samples::DOMAINS),
            max_concurrency: 32,
            ready: models(runner).into_iter().map(samples::artifact).collect(),
        });
    }
    selector
}

fn held_by(runner: usize) -> Vec<usize> {
    (0..HELD_MODELS)
        .map(|index| (runner * HELD_MODELS + index) % 810)
        .collect()
}

fn select_us(replicas: usize) -> f64 {
    let selector = selector(replicas, |_| vec![0]);
    let request = RouteRequest {
        artifact: samples::artifact(0),
        prefix: Some(7),
        excluded: Vec::new(),
    };
    let first_token = Duration::from_millis(100);
    processor_us(|| {
        let now = clock::now();
        let ticket = selector.select(now, &request).expect("every runner has a free slot");
        let outcome = AttemptOutcome::Answered { first_token };
        selector
            .complete(ticket, now, outcome)
            .expect("the attempt is in flight");
    })
}

fn upsert_us(runners: usize) -> f64 {
    let selector = selector(runners, held_by);
    let mut runner = 0;
    processor_us(|| {
        selector.upsert_runner(RunnerProfile {
            backend: samples::backend(runner),
            domain: samples::domain(runner % samples::DOMAINS),
            region: samples::region(runner % samples::DOMAINS),
            max_concurrency: 32,
            ready: held_by(runner).into_iter().map(samples::artifact).collect(),
        });
        runner = (runner + 1) % runners;
    })
}

fn routing(probe: MemoryProbe) -> Vec<MeasuredSlope> {
    let memory = |runners| held_bytes(probe, || selector(runners, held_by));
    vec![
        MeasuredSlope::measure("route_memory", "B", "runner", &RUNNERS, memory),
        MeasuredSlope::measure("route_upsert", "µs", "runner", &RUNNERS, upsert_us),
        MeasuredSlope::measure("route_select", "µs", "replica of the model", &REPLICAS, select_us),
    ]
}

fn queued(index: usize, now: Instant) -> QueuedRequest {
    QueuedRequest {
        request: format_smolstr!("entry-region-0-domain-00-03-5e1f-{index}"),
        pool: samples::artifact(index % 16).model,
        tenant: format_smolstr!("tenant-{}", index % TENANTS),
        weight: 1,
        class: PriorityClass::Standard,
        deadline: now + Duration::from_secs(600),
        bytes: REQUEST_BYTES,
        cost: 512,
    }
}

fn load() -> PoolLoad {
    PoolLoad {
        slots: 512,
        outstanding: 512,
        hold_time: Duration::from_millis(500),
        answer_time: Duration::from_millis(100),
    }
}

fn queue(count: usize, now: Instant) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(AdmissionLimits::default(), 1);
    for index in 0..count {
        drop(queue.offer(now, queued(index, now), &load()));
    }
    queue
}

fn admission(probe: MemoryProbe) -> Vec<MeasuredSlope> {
    let now = clock::now();
    let memory = |count| held_bytes(probe, || queue(count, now));
    let admit = |count| {
        let mut queue = queue(count, now);
        let mut index = 0;
        processor_us(|| {
            let request = queued(index, now);
            let pool = request.pool.clone();
            drop(queue.offer(now, request, &load()));
            drop(queue.take(&pool));
            index += 1;
        })
    };
    vec![
        MeasuredSlope::measure("queue_memory", "B", "request queued", &QUEUED, memory),
        MeasuredSlope::measure("queue_admit", "µs", "request queued", &QUEUED, admit),
    ]
}
