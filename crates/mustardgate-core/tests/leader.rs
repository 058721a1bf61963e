//! The domain leader: what it sends, and what must be true before.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::FencingNumber,
    leader::{
        DomainConfig, DomainLeader, LeaderAction, LeaderEvent, LeaderSettings, LeaderTenure, MoveRefusal, RunnerConfig,
    },
    lease::LeaseSettings,
    log::{Artifact, BatchRecord, LogRecord},
    placement::{ArtifactDemand, PlannedMove},
    ports::{EngineOrder, EngineReport, LogEntry, OrderError, ResidentArtifact},
    resources::{FencingSupport, PolicySpec, PriorityClass},
};

const TERM: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(100);

/// A leader with its log and the reports that its two runners give.
struct LeaderBench {
    leader: DomainLeader,
    now: Instant,
    log: Vec<LogRecord>,
    is_log_away: bool,
    reports: [EngineReport; 2],
    orders: Vec<EngineOrder>,
    raises: Vec<FencingNumber>,
    refusals: Vec<MoveRefusal>,
}

fn artifact(name: &str) -> Artifact {
    Artifact {
        model: name.into(),
        adapter: None,
        version: "v1".into(),
    }
}

fn demand(name: &str) -> ArtifactDemand {
    ArtifactDemand {
        artifact: artifact(name),
        memory_mib: 40,
        requests_per_second: 1.0,
        priority: PriorityClass::Standard,
        base: Vec::new(),
    }
}

fn ready(name: &str) -> ResidentArtifact {
    ResidentArtifact {
        accelerator: 0,
        artifact: artifact(name),
        memory_mib: 40,
        is_ready: true,
    }
}

fn load(backend: &str, name: &str) -> PlannedMove {
    PlannedMove::Load {
        backend: backend.into(),
        accelerator: 0,
        artifact: artifact(name),
        memory_mib: 40,
    }
}

fn unload(backend: &str, name: &str) -> PlannedMove {
    PlannedMove::Unload {
        backend: backend.into(),
        accelerator: 0,
        artifact: artifact(name),
    }
}

fn config(fencing: FencingSupport) -> DomainConfig {
    let runner = |name: &str| RunnerConfig {
        backend: name.into(),
        fencing,
        accelerators: vec![100],
        max_concurrency: 8,
        is_leaving: false,
    };
    DomainConfig {
        runners: vec![runner("r0"), runner("r1")],
        demands: vec![demand("a")],
        ..DomainConfig::default()
    }
}

impl LeaderBench {
    fn new(fencing: FencingSupport) -> Self {
        let settings = LeaderSettings {
            lease: LeaseSettings {
                domain: "d1".into(),
                node: "n1".into(),
                session: 1,
                term: TERM,
                margin: Duration::from_secs(1),
            },
            address: 77,
            read_interval: Duration::from_millis(500),
            retry_interval: Duration::from_secs(1),
            report_freshness: Duration::from_secs(3),
            append_interval: Duration::from_millis(100),
            checkpoint_interval: Duration::from_secs(60),
        };
        let mut bench = Self {
            leader: DomainLeader::new(settings),
            now: Instant::now(),
            log: Vec::new(),
            is_log_away: false,
            reports: Default::default(),
            orders: Vec::new(),
            raises: Vec::new(),
            refusals: Vec::new(),
        };
        bench.event(LeaderEvent::DomainChanged(config(fencing)));
        bench
    }

    fn leading(fencing: FencingSupport) -> Self {
        let mut bench = Self::new(fencing);
        bench.event(LeaderEvent::LogStarted(0));
        bench.run(Duration::from_secs(2));
        assert!(matches!(bench.leader.tenure(), LeaderTenure::Leased(_)));
        bench
    }

    /// Handles one event and everything that follows from it at once; an unread log entry is read with the next tick.
    fn event(&mut self, event: LeaderEvent) {
        let actions = self.leader.handle(self.now, event);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: LeaderAction) {
        match action {
            LeaderAction::Append { record, .. } if self.is_log_away => drop(record),
            LeaderAction::Append { append, record } => {
                let offset = self.log.len() as u64;
                self.log.push(*record);
                self.event(LeaderEvent::AppendAnswered {
                    append,
                    outcome: Ok(offset),
                });
            }
            LeaderAction::RaiseFencing { backend, fencing } => {
                self.raises.push(fencing);
                let report = &mut self.reports[usize::from(backend == "r1")];
                report.fencing = fencing;
                report.sequence += 1;
                let outcome = Ok(report.clone());
                self.event(LeaderEvent::RaiseAnswered {
                    backend,
                    fencing,
                    outcome,
                });
            }
            LeaderAction::ReadReport { backend, read } => {
                let report = &mut self.reports[usize::from(backend == "r1")];
                report.sequence += 1;
                let outcome = Ok(report.clone());
                self.event(LeaderEvent::ReportAnswered { backend, read, outcome });
            }
            LeaderAction::SendOrder { order, .. } => self.orders.push(order),
            LeaderAction::RefuseMove { refusal, .. } => self.refusals.push(refusal),
            LeaderAction::ReportViolation { violation, .. } => panic!("{violation}"),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut read = 0;
        while self.now < end {
            self.now += STEP;
            let appended = |(offset, record): (usize, &LogRecord)| LogEntry {
                offset: offset as u64,
                record: record.clone(),
            };
            // Reading again from the start is harmless: repeated records have no effect.
            let entries: Vec<LogEntry> = self.log.iter().enumerate().skip(read).map(appended).collect();
            read = self.log.len();
            self.event(if self.is_log_away {
                LeaderEvent::LogUnavailable
            } else {
                LeaderEvent::LogRead(entries)
            });
        }
    }

    fn plan(&mut self, moves: &[PlannedMove]) {
        self.event(LeaderEvent::MovesPlanned(moves.to_vec()));
    }
}

#[test]
fn intent_is_in_the_log_before_the_order_is_sent() {
    let mut bench = LeaderBench::leading(FencingSupport::Ignores);
    bench.plan(&[load("r0", "a")]);
    assert!(bench.orders.is_empty());
    bench.run(STEP * 3);
    let order = bench
        .orders
        .first()
        .expect("the order follows its intent")
        .order
        .clone();
    let is_logged = bench.log.iter().any(|record| match record {
        LogRecord::Batch(batch) => batch.intents.iter().any(|intent| intent.order == order),
        _ => false,
    });
    assert!(is_logged);
    assert_eq!(bench.raises, []);
}

#[test]
fn unsettled_order_is_sent_again_under_its_identifier() {
    let mut bench = LeaderBench::leading(FencingSupport::Ignores);
    bench.plan(&[load("r0", "a")]);
    bench.run(Duration::from_secs(4));
    let first = bench.orders[0].clone();
    assert!(bench.orders.len() >= 3 && bench.orders.iter().all(|order| *order == first));
    bench.reports[0].settled = vec![first.order];
    bench.run(Duration::from_secs(1));
    let sent = bench.orders.len();
    bench.run(Duration::from_secs(4));
    assert_eq!(bench.orders.len(), sent);
}

#[test]
fn log_away_commits_no_memory_on_engines_that_ignore_numbers() {
    let mut bench = LeaderBench::leading(FencingSupport::Ignores);
    bench.is_log_away = true;
    bench.run(STEP);
    bench.plan(&[load("r0", "a")]);
    assert_eq!(bench.refusals, [MoveRefusal::LogAway]);
    bench.run(TERM);
    assert_eq!(bench.leader.tenure(), LeaderTenure::Follower);
    assert!(bench.orders.is_empty());
}

#[test]
fn successor_without_the_log_raises_above_what_the_engine_reports() {
    let mut bench = LeaderBench::new(FencingSupport::Refuses);
    let held = FencingNumber {
        lease_offset: 9,
        succession: 2,
        address: 500,
    };
    bench.reports = [(); 2].map(|()| EngineReport {
        fencing: held,
        ..EngineReport::default()
    });
    bench.is_log_away = true;
    bench.event(LeaderEvent::SuccessorChanged(true));
    bench.run(TERM + Duration::from_secs(2));
    assert_eq!(bench.leader.tenure(), LeaderTenure::Succeeded);
    let expected = FencingNumber {
        lease_offset: 9,
        succession: 3,
        address: 77,
    };
    assert_eq!(bench.raises, [expected, expected]);
    let next_lease = FencingNumber {
        lease_offset: 10,
        ..FencingNumber::default()
    };
    assert!(held < expected && expected < next_lease);
    bench.plan(&[load("r0", "a")]);
    assert_eq!(bench.orders[0].fencing, expected);
    assert_eq!(bench.refusals, []);
}

#[test]
fn node_that_is_not_the_successor_does_not_lead_without_the_log() {
    let mut bench = LeaderBench::new(FencingSupport::Refuses);
    bench.is_log_away = true;
    bench.run(TERM * 3);
    assert_eq!(bench.leader.tenure(), LeaderTenure::Follower);
    assert_eq!(bench.raises, []);
}

#[test]
fn refused_order_ends_the_use_of_the_runner() {
    let mut bench = LeaderBench::leading(FencingSupport::Refuses);
    bench.plan(&[load("r0", "a")]);
    let order = bench.orders[0].clone();
    let newest = FencingNumber {
        lease_offset: 50,
        ..order.fencing
    };
    let outcome = Err(OrderError::Fenced { newest });
    bench.event(LeaderEvent::OrderAnswered {
        backend: "r0".into(),
        order: order.order,
        outcome,
    });
    bench.plan(&[load("r0", "b")]);
    assert!(matches!(bench.refusals[..], [MoveRefusal::UnknownState { .. }]));
    bench.run(Duration::from_secs(5));
    assert_eq!(bench.raises.len(), 2, "a number of a newer lease is not outbid");
}

#[test]
fn last_replica_stays_until_another_answers() {
    let mut bench = LeaderBench::leading(FencingSupport::Refuses);
    bench.reports[0].resident = vec![ready("a"), ready("undeclared")];
    bench.run(Duration::from_secs(1));
    bench.plan(&[unload("r0", "a"), unload("r0", "undeclared")]);
    assert_eq!(bench.refusals, [MoveRefusal::LastReplica]);
    assert_eq!(bench.orders.len(), 1);
    bench.reports[1].resident = vec![ready("a")];
    bench.run(Duration::from_secs(1));
    bench.plan(&[unload("r0", "a"), unload("r1", "a")]);
    assert_eq!(bench.refusals, [MoveRefusal::LastReplica, MoveRefusal::LastReplica]);
}

#[test]
fn only_a_domain_without_base_replica_relies_on_another() {
    let mut bench = LeaderBench::leading(FencingSupport::Refuses);
    bench.reports[0].resident = vec![ready("a")];
    let mut domain = config(FencingSupport::Refuses);
    domain.answered_elsewhere.insert(artifact("a"));
    domain.demands[0]
        .base
        .push(mustardgate_core::placement::BaseAssignment {
            backend: "r0".into(),
            accelerator: 0,
        });
    bench.event(LeaderEvent::DomainChanged(domain.clone()));
    bench.run(Duration::from_secs(1));
    bench.plan(&[unload("r0", "a")]);
    assert_eq!(bench.refusals, [MoveRefusal::LastReplica]);
    domain.demands[0].base.clear();
    bench.event(LeaderEvent::DomainChanged(domain));
    bench.plan(&[unload("r0", "a")]);
    assert_eq!(bench.orders.len(), 1);
}

#[test]
fn loads_keep_to_the_domains_share_of_the_store() {
    let mut bench = LeaderBench::leading(FencingSupport::Refuses);
    let policy = PolicySpec {
        store_loads_per_second: 1.0,
        ..PolicySpec::default()
    };
    let domain = DomainConfig {
        policy,
        ..config(FencingSupport::Refuses)
    };
    bench.event(LeaderEvent::DomainChanged(domain));
    bench.plan(&[load("r0", "a"), load("r1", "a")]);
    assert_eq!(bench.refusals, [MoveRefusal::StoreBusy]);
    bench.run(Duration::from_secs(1));
    bench.plan(&[load("r1", "a")]);
    assert_eq!(bench.refusals.len(), 1);
}

#[test]
fn appends_stay_within_ten_a_second() {
    let mut bench = LeaderBench::leading(FencingSupport::Ignores);
    let mut domain = config(FencingSupport::Ignores);
    domain.runners[0].accelerators = vec![100_000];
    domain.policy.store_loads_per_second = 1_000.0;
    domain.policy.store_concurrent_loads = 1_000;
    bench.event(LeaderEvent::DomainChanged(domain));
    let before = bench.log.len();
    for step in 0..100 {
        bench.now += Duration::from_millis(10);
        let name = format!("m{step}");
        bench.plan(&[load("r0", &name)]);
        let offset = bench.log.len() as u64 - 1;
        let record = bench.log[offset as usize].clone();
        bench.event(LeaderEvent::LogRead(vec![LogEntry { offset, record }]));
    }
    let appends = bench.log.len() - before;
    assert!((5..=10).contains(&appends), "{appends} appends in a second");
    assert!(bench.orders.len() > 50);
}

#[test]
fn incomplete_window_of_the_log_commits_no_memory() {
    let mut bench = LeaderBench::new(FencingSupport::Ignores);
    bench.event(LeaderEvent::LogStarted(1));
    bench.log.push(LogRecord::Batch(BatchRecord::default()));
    bench.run(Duration::from_secs(2));
    assert!(matches!(bench.leader.tenure(), LeaderTenure::Leased(_)));
    bench.plan(&[load("r0", "a")]);
    assert!(matches!(bench.refusals[..], [MoveRefusal::UnknownState { .. }]));
}

#[test]
fn drained_leader_begins_nothing_and_releases_its_lease() {
    let mut bench = LeaderBench::leading(FencingSupport::Refuses);
    bench.event(LeaderEvent::Draining);
    bench.plan(&[load("r0", "a")]);
    assert_eq!(bench.refusals, [MoveRefusal::NotLeading]);
    bench.run(Duration::from_secs(1));
    assert_eq!(bench.leader.tenure(), LeaderTenure::Follower);
    assert!(matches!(bench.log.last(), Some(LogRecord::Lease(lease)) if lease.released));
}
