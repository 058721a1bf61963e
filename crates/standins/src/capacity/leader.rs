//! Costs of the work of a failure domain's leader: base placement, rounds of the gain policy, memory ledger and
//! reports.

use std::time::{Duration, Instant};

use mustardgate_core::{
    clock,
    ids::{BackendId, FencingNumber},
    leader::{DomainConfig, DomainLeader, LeaderAction, LeaderEvent, LeaderSettings, LeaderTenure, RunnerConfig},
    lease::LeaseSettings,
    ledger::MemoryLedger,
    placement::{
        AcceleratorView, ArtifactDemand, BaseAssignment, DomainView, Holding, HoldingState, PlacementPolicy,
        RunnerView,
        base::BasePlacement,
        gain::{GainPolicy, GainSettings},
    },
    ports::{EngineReport, LogEntry},
    resources::{FencingSupport, PolicySpec, PriorityClass},
};

use super::{
    probe::{MemoryProbe, held_bytes, processor_us},
    samples,
    serving::HELD_MODELS,
    slope::MeasuredSlope,
};

/// Runners of one failure domain at the design size.
const DOMAIN_RUNNERS: usize = 70;
const MODELS: [usize; 5] = [50, 100, 200, 400, 810];
const ALL_RUNNERS: [usize; 5] = [100, 200, 400, 800, 1_600];
const LED_RUNNERS: [usize; 4] = [10, 20, 40, 80];
const RESIDENT: [usize; 4] = [2, 4, 8, 16];
const ACCELERATOR_MIB: u64 = 81_920;
const MODEL_MIB: u64 = 16_384;
/// Requests per second for a model that its replicas can answer.
const LOW_DEMAND: f64 = 1.0;
/// Requests per second for a model that its replicas cannot answer.
const HIGH_DEMAND: f64 = 400.0;
/// One model in this many has the high demand.
const HIGH_DEMAND_INTERVAL: usize = 10;

/// Measures placement, the memory ledger and the leader.
pub fn measure_leader(probe: MemoryProbe) -> Vec<MeasuredSlope> {
    let by_models = |models| base_us(models, 1_600);
    let by_runners = |runners| base_us(810, runners);
    let demand_met = |models| plan_us(models, DOMAIN_RUNNERS, false);
    let demand_high = |models| plan_us(models, DOMAIN_RUNNERS, true);
    let by_led_runners = |runners| plan_us(200, runners, true);
    vec![
        MeasuredSlope::measure("base_by_models", "µs", "model", &MODELS, by_models),
        MeasuredSlope::measure("base_by_runners", "µs", "runner", &ALL_RUNNERS, by_runners),
        MeasuredSlope::measure("gain_calm", "µs", "model", &MODELS, demand_met),
        MeasuredSlope::measure("gain_strained", "µs", "model", &MODELS[..4], demand_high),
        MeasuredSlope::measure(
            "gain_by_runners",
            "µs",
            "runner of the domain",
            &LED_RUNNERS,
            by_led_runners,
        ),
        MeasuredSlope::measure("ledger_report", "µs", "model held", &RESIDENT, ledger_us),
        MeasuredSlope::measure("leader_report", "µs", "runner of the domain", &LED_RUNNERS, report_us),
        MeasuredSlope::measure("leader_memory", "B", "runner of the domain", &LED_RUNNERS, |runners| {
            held_bytes(probe, || LeaderFixture::start(runners))
        }),
    ]
}

fn base_us(models: usize, runners: usize) -> f64 {
    let input = samples::base_input(models, runners);
    processor_us(|| drop(BasePlacement::compute(&input)))
}

fn runner_view(runner: usize, models: usize) -> RunnerView {
    let accelerator = |index: usize| {
        let held = (0..HELD_MODELS / samples::ACCELERATORS).map(|position| Holding {
            artifact: samples::artifact((runner * HELD_MODELS + index * 2 + position) % models),
            memory_mib: MODEL_MIB,
            state: HoldingState::Resident,
        });
        AcceleratorView {
            capacity_mib: ACCELERATOR_MIB,
            holdings: held.collect(),
        }
    };
    RunnerView {
        backend: samples::backend(runner),
        is_unschedulable: false,
        request_capacity: 32,
        request_limit: None,
        accelerators: (0..samples::ACCELERATORS).map(accelerator).collect(),
    }
}

fn demand(index: usize, runners: usize, has_high_demand: bool) -> ArtifactDemand {
    let is_high = has_high_demand && index.is_multiple_of(HIGH_DEMAND_INTERVAL);
    ArtifactDemand {
        artifact: samples::artifact(index),
        memory_mib: MODEL_MIB,
        requests_per_second: if is_high { HIGH_DEMAND } else { LOW_DEMAND },
        priority: PriorityClass::Standard,
        base_assignments: vec![BaseAssignment {
            backend: samples::backend(index / HELD_MODELS % runners),
            accelerator: (index % HELD_MODELS / 2) as u16,
        }],
    }
}

fn plan_us(models: usize, runners: usize, has_high_demand: bool) -> f64 {
    let view = DomainView {
        runners: (0..runners).map(|runner| runner_view(runner, models)).collect(),
        demands: (0..models)
            .map(|index| demand(index, runners, has_high_demand))
            .collect(),
        policy: PolicySpec::default(),
        ..DomainView::default()
    };
    let mut policy = GainPolicy::new(GainSettings::default());
    let mut now = clock::now();
    processor_us(|| {
        now += Duration::from_secs(61);
        drop(policy.plan(now, &view));
    })
}

fn ledger_us(held: usize) -> f64 {
    let mut ledger = MemoryLedger::new(ACCELERATOR_MIB * held as u64);
    let report = samples::report(1, 0, held);
    processor_us(|| {
        let applied = ledger.apply_report(report.resident.iter().cloned(), &report.settled);
        applied.expect("the report fits");
    })
}

/// A leader that holds its lease and has raised the fencing number of every runner.
struct LeaderFixture {
    leader: DomainLeader,
    now: Instant,
    sequence: u64,
    reads: Vec<(BackendId, u64)>,
}

impl LeaderFixture {
    fn start(runners: usize) -> Self {
        let mut fixture = Self {
            leader: DomainLeader::new(settings()),
            now: clock::now(),
            sequence: 1,
            reads: Vec::new(),
        };
        drop(
            fixture
                .leader
                .handle(fixture.now, LeaderEvent::DomainChanged(config(runners))),
        );
        let actions = fixture.leader.handle(fixture.now, LeaderEvent::LogStarted(0));
        let claim = actions.into_iter().find_map(|action| match action {
            LeaderAction::Append { record, .. } => Some(*record),
            _ => None,
        });
        let entry = LogEntry {
            offset: 0,
            record: claim.expect("a leader claims the lease of an empty log"),
        };
        let raises = fixture.leader.handle(fixture.now, LeaderEvent::LogRead(vec![entry]));
        assert_eq!(
            fixture.leader.tenure(),
            LeaderTenure::Leased(0),
            "the claim takes effect"
        );
        fixture.answer_raises(raises);
        fixture
    }

    fn answer_raises(&mut self, raises: Vec<LeaderAction>) {
        for action in raises {
            if let LeaderAction::RaiseFencing { backend, fencing } = action {
                let outcome = Ok(report(fencing, self.sequence));
                let event = LeaderEvent::RaiseAnswered {
                    backend,
                    fencing,
                    outcome,
                };
                self.handle(event);
            }
        }
    }

    /// Passes an event to the leader and keeps the reads that it requests.
    fn handle(&mut self, event: LeaderEvent) {
        let actions = self.leader.handle(self.now, event);
        self.reads.extend(actions.into_iter().filter_map(|action| match action {
            LeaderAction::ReadReport { backend, read } => Some((backend, read)),
            _ => None,
        }));
    }

    /// Answers one read of a report; when none is outstanding, a tick first makes the leader request the next ones.
    fn answer_read(&mut self) {
        if self.reads.is_empty() {
            self.now += Duration::from_millis(500);
            self.sequence += 1;
            self.handle(LeaderEvent::Tick);
        }
        let (backend, read) = self
            .reads
            .pop()
            .expect("the leader reads every runner in every interval");
        let fencing = FencingNumber {
            lease_offset: 0,
            succession: 1,
            address: 1,
        };
        let outcome = Ok(report(fencing, self.sequence));
        self.handle(LeaderEvent::ReportAnswered { backend, read, outcome });
    }
}

fn report(fencing: FencingNumber, sequence: u64) -> EngineReport {
    EngineReport {
        fencing,
        ..samples::report(sequence, 0, HELD_MODELS)
    }
}

fn settings() -> LeaderSettings {
    LeaderSettings {
        lease: LeaseSettings {
            domain: samples::domain(0),
            node: "entry-03".into(),
            session: 1,
            // The measurement advances its clock by an hour or more without a renewal.
            term: Duration::from_secs(86_400 * 365),
            margin: Duration::from_secs(1),
        },
        address: 1,
        read_interval: Duration::from_millis(500),
        retry_interval: Duration::from_secs(2),
        report_freshness: Duration::from_secs(2),
        append_interval: Duration::from_millis(100),
        checkpoint_interval: Duration::from_secs(86_400),
    }
}

fn config(runners: usize) -> DomainConfig {
    let runner = |index| RunnerConfig {
        backend: samples::backend(index),
        fencing: FencingSupport::Refuses,
        accelerators: vec![ACCELERATOR_MIB; samples::ACCELERATORS],
        max_concurrency: 32,
        is_leaving: false,
    };
    DomainConfig {
        runners: (0..runners).map(runner).collect(),
        ..DomainConfig::default()
    }
}

fn report_us(runners: usize) -> f64 {
    let mut fixture = LeaderFixture::start(runners);
    processor_us(|| fixture.answer_read())
}
