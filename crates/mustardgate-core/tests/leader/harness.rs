//! Test harness of a domain leader with a log and two runners that respond at once.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::FencingNumber,
    leader::{
        DomainConfig, DomainLeader, LeaderAction, LeaderEvent, LeaderSettings, LeaderTenure, MoveRefusal, RunnerConfig,
    },
    lease::LeaseSettings,
    log::{Artifact, LogRecord},
    placement::{ArtifactDemand, PlannedMove},
    ports::{EngineOrder, EngineReport, LogEntry, ResidentArtifact},
    resources::{FencingSupport, PriorityClass},
};

pub(crate) const TERM: Duration = Duration::from_secs(10);
pub(crate) const STEP: Duration = Duration::from_millis(100);

/// A leader with its log and the reports that its two runners give.
pub(crate) struct LeaderHarness {
    pub(crate) leader: DomainLeader,
    pub(crate) now: Instant,
    pub(crate) log: Vec<LogRecord>,
    pub(crate) is_log_unavailable: bool,
    pub(crate) reports: [EngineReport; 2],
    pub(crate) orders: Vec<EngineOrder>,
    pub(crate) raises: Vec<FencingNumber>,
    pub(crate) refusals: Vec<MoveRefusal>,
}

pub(crate) fn artifact(name: &str) -> Artifact {
    Artifact {
        model: name.into(),
        adapter: None,
        version: "v1".into(),
    }
}

pub(crate) fn demand(name: &str) -> ArtifactDemand {
    ArtifactDemand {
        artifact: artifact(name),
        memory_mib: 40,
        requests_per_second: 1.0,
        priority: PriorityClass::Standard,
        base_assignments: Vec::new(),
    }
}

pub(crate) fn ready(name: &str) -> ResidentArtifact {
    ResidentArtifact {
        accelerator: 0,
        artifact: artifact(name),
        memory_mib: 40,
        is_ready: true,
    }
}

pub(crate) fn load(backend: &str, name: &str) -> PlannedMove {
    PlannedMove::Load {
        backend: backend.into(),
        accelerator: 0,
        artifact: artifact(name),
        memory_mib: 40,
    }
}

pub(crate) fn unload(backend: &str, name: &str) -> PlannedMove {
    PlannedMove::Unload {
        backend: backend.into(),
        accelerator: 0,
        artifact: artifact(name),
    }
}

pub(crate) fn config(fencing: FencingSupport) -> DomainConfig {
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

impl LeaderHarness {
    pub(crate) fn new(fencing: FencingSupport) -> Self {
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
        let mut harness = Self {
            leader: DomainLeader::new(settings),
            now: Instant::now(),
            log: Vec::new(),
            is_log_unavailable: false,
            reports: Default::default(),
            orders: Vec::new(),
            raises: Vec::new(),
            refusals: Vec::new(),
        };
        harness.event(LeaderEvent::DomainChanged(config(fencing)));
        harness
    }

    pub(crate) fn leading(fencing: FencingSupport) -> Self {
        let mut harness = Self::new(fencing);
        harness.event(LeaderEvent::LogStarted(0));
        harness.run(Duration::from_secs(2));
        assert!(matches!(harness.leader.tenure(), LeaderTenure::Leased(_)));
        harness
    }

    /// Handles one event and performs the actions that follow from it; new log entries are read by [`Self::run`].
    pub(crate) fn event(&mut self, event: LeaderEvent) {
        let actions = self.leader.handle(self.now, event);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: LeaderAction) {
        match action {
            LeaderAction::Append { record, .. } if self.is_log_unavailable => drop(record),
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

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        let mut read = 0;
        while self.now < end {
            self.now += STEP;
            let appended = |(offset, record): (usize, &LogRecord)| LogEntry {
                offset: offset as u64,
                record: record.clone(),
            };
            // Each run reads the log from its start; repeated records have no effect.
            let entries: Vec<LogEntry> = self.log.iter().enumerate().skip(read).map(appended).collect();
            read = self.log.len();
            self.event(if self.is_log_unavailable {
                LeaderEvent::LogUnavailable
            } else {
                LeaderEvent::LogRead(entries)
            });
        }
    }

    pub(crate) fn plan(&mut self, moves: &[PlannedMove]) {
        self.event(LeaderEvent::MovesPlanned(moves.to_vec()));
    }
}
