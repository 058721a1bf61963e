//! The state machine of a domain leader: tenure, log and periodic calls.

use std::{collections::BTreeMap, time::Instant};

use smol_str::format_smolstr;

use super::{
    messages::{LeaderAction, LeaderEvent},
    moves::StoreBudget,
    orders::OpenOrders,
    runner::{RunnerCall, RunnerState},
    settings::{DomainConfig, LeaderSettings, LeaderTenure},
    writer::BatchWriter,
};
use crate::{
    ids::{BackendId, Offset, OrderId},
    lease::LeaseTracker,
    ledger::OpenIntents,
    log::{BatchRecord, LogRecord},
    placement::DomainView,
    ports::{AppendError, EngineOrder, LogEntry},
};

/// Leads one failure domain while this node's tenure allows it, and otherwise only follows the log.
#[derive(Debug)]
pub struct DomainLeader {
    pub(super) settings: LeaderSettings,
    pub(super) config: DomainConfig,
    pub(super) tenure: LeaderTenure,
    pub(super) runners: BTreeMap<BackendId, RunnerState>,
    pub(super) orders: OpenOrders,
    pub(super) writer: Option<BatchWriter>,
    pub(super) budget: StoreBudget,
    pub(super) log_unavailable_since: Option<Instant>,
    pub(super) is_draining: bool,
    tracker: LeaseTracker,
    intents: OpenIntents,
    is_successor: bool,
    next_append_at: Option<Instant>,
    lease_append: Option<u64>,
    append_count: u64,
    read_count: u64,
    order_count: u64,
}

impl DomainLeader {
    /// Creates the leader role of one node, which is a follower until it has read the log or become the successor.
    pub fn new(settings: LeaderSettings) -> Self {
        let tracker = LeaseTracker::new(settings.lease.clone());
        let intents = OpenIntents::new(settings.lease.domain.clone());
        Self {
            settings,
            config: DomainConfig::default(),
            tenure: LeaderTenure::Follower,
            runners: BTreeMap::new(),
            orders: OpenOrders::default(),
            writer: None,
            budget: StoreBudget::default(),
            log_unavailable_since: None,
            is_draining: false,
            tracker,
            intents,
            is_successor: false,
            next_append_at: None,
            lease_append: None,
            append_count: 0,
            read_count: 0,
            order_count: 0,
        }
    }

    /// Handles one event at `now` and returns the actions to perform.
    pub fn handle(&mut self, now: Instant, event: LeaderEvent) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        // The tenure may have expired since the last event, and must then end before this one is handled.
        self.update_tenure(now);
        self.apply_event(now, event, &mut actions);
        self.update_tenure(now);
        self.poll_log(now, &mut actions);
        self.poll_runners(now, &mut actions);
        self.send_orders(now, &mut actions);
        actions
    }

    /// Returns the tenure of this node after the last event.
    pub fn tenure(&self) -> LeaderTenure {
        self.tenure
    }

    /// Returns the state of the domain for the placement policy; runners whose state is unknown are left out.
    pub fn view(&self, now: Instant) -> DomainView {
        let is_fresh = |backend: &BackendId| self.is_fresh(now, backend);
        let (model_loads_in_flight, adapter_loads_in_flight) = self.orders.open_loads(is_fresh);
        let known_runners = self.runners.values().filter(|runner| runner.is_state_known());
        DomainView {
            runners: known_runners
                .map(|runner| runner.view(self.is_fresh(now, &runner.config.backend)))
                .collect(),
            demands: self.config.demands.clone(),
            policy: self.config.policy.clone(),
            model_loads_in_flight,
            adapter_loads_in_flight,
        }
    }

    pub(super) fn is_fresh(&self, now: Instant, backend: &BackendId) -> bool {
        let runner = self.runners.get(backend);
        runner.is_some_and(|runner| runner.is_fresh(now, self.settings.report_freshness))
    }

    pub(super) fn next_order_id(&mut self) -> OrderId {
        self.order_count += 1;
        let lease = &self.settings.lease;
        format_smolstr!("{}-{:x}-{}", lease.node, lease.session, self.order_count)
    }

    fn apply_event(&mut self, now: Instant, event: LeaderEvent, actions: &mut Vec<LeaderAction>) {
        match event {
            LeaderEvent::LogStarted(from) => {
                self.tracker.start(from);
                self.intents.start(from);
            }
            LeaderEvent::LogRead(entries) => self.read_log(now, &entries),
            LeaderEvent::LogUnavailable => {
                self.log_unavailable_since.get_or_insert(now);
            }
            LeaderEvent::AppendAnswered { append, outcome } => self.append_answered(append, outcome),
            LeaderEvent::DomainChanged(config) => self.set_config(config),
            LeaderEvent::SuccessorChanged(is_successor) => self.is_successor = is_successor,
            LeaderEvent::RaiseAnswered {
                backend,
                fencing,
                outcome,
            } => self.raise_answered(now, &backend, fencing, outcome, actions),
            LeaderEvent::ReportAnswered { backend, read, outcome } => {
                self.report_answered(now, &backend, read, outcome, actions);
            }
            LeaderEvent::OrderAnswered { backend, outcome, .. } => self.order_answered(now, &backend, outcome),
            LeaderEvent::MovesPlanned(moves) => self.begin_moves(now, moves, actions),
            LeaderEvent::Draining => {
                self.is_draining = true;
                self.tracker.drain();
            }
            LeaderEvent::Tick => {}
        }
    }

    fn read_log(&mut self, now: Instant, entries: &[LogEntry]) {
        self.log_unavailable_since = None;
        for entry in entries {
            match &entry.record {
                LogRecord::Lease(record) => {
                    self.tracker.observe(now, entry.offset, record);
                    if let Some(claim) = self.tracker.claim_in_force() {
                        self.intents.confirm_claim(claim);
                    }
                }
                LogRecord::Batch(batch) if self.intents.observe(batch, self.tracker.claim_in_force()) => {
                    let own_lease = batch
                        .lease
                        .filter(|lease| self.tenure == LeaderTenure::Leased(lease.claim));
                    let (Some(lease), Some(writer)) = (own_lease, &mut self.writer) else {
                        continue;
                    };
                    writer.confirm(lease.sequence);
                    for intent in &batch.intents {
                        self.orders.confirm(&intent.order);
                    }
                }
                _ => {}
            }
        }
    }

    fn append_answered(&mut self, append: u64, outcome: Result<Offset, AppendError>) {
        if outcome != Err(AppendError::NotAppended) {
            return;
        }
        if self.lease_append == Some(append) {
            self.tracker.append_failed();
        } else if let Some(writer) = &mut self.writer {
            writer.append_failed(append);
        }
    }

    fn set_config(&mut self, config: DomainConfig) {
        let is_declared = |backend: &BackendId| config.runners.iter().any(|runner| runner.backend == *backend);
        self.runners.retain(|backend, _| is_declared(backend));
        for declared in &config.runners {
            let backend = declared.backend.clone();
            let runner = self
                .runners
                .entry(backend)
                .or_insert_with(|| RunnerState::new(declared.clone()));
            runner.set_config(declared.clone());
        }
        self.config = config;
    }

    fn update_tenure(&mut self, now: Instant) {
        let next = match self.tracker.held_claim(now) {
            Some(claim) => LeaderTenure::Leased(claim),
            None if self.may_succeed(now) => LeaderTenure::Succeeded,
            None => LeaderTenure::Follower,
        };
        if next == self.tenure {
            return;
        }
        if matches!(self.tenure, LeaderTenure::Leased(_)) && !matches!(next, LeaderTenure::Leased(_)) {
            self.tracker.forfeit();
        }
        self.tenure = next;
        self.begin_tenure();
    }

    fn may_succeed(&self, now: Instant) -> bool {
        let is_log_unavailable = self
            .log_unavailable_since
            .is_some_and(|since| now >= since + self.settings.lease.term);
        is_log_unavailable && self.is_successor && self.tracker.has_expired(now)
    }

    /// Discards the state of the previous tenure; under a lease, takes over the orders that the log shows as open.
    fn begin_tenure(&mut self) {
        for runner in self.runners.values_mut() {
            *runner = RunnerState::new(runner.config.clone());
        }
        self.orders = OpenOrders::default();
        self.writer = None;
        let LeaderTenure::Leased(claim) = self.tenure else {
            return;
        };
        if !self.intents.is_complete() {
            return;
        }
        self.writer = Some(BatchWriter::new(self.settings.lease.domain.clone(), claim));
        for intent in self.intents.open() {
            self.orders.inherit(intent);
        }
    }

    fn poll_log(&mut self, now: Instant, actions: &mut Vec<LeaderAction>) {
        if self.next_append_at.is_some_and(|at| now < at) {
            return;
        }
        self.append_count += 1;
        let append = self.append_count;
        let record = if let Some(record) = self.tracker.poll(now) {
            self.lease_append = Some(append);
            LogRecord::Lease(record)
        } else if let Some(batch) = self.poll_batch(now, append) {
            LogRecord::Batch(batch)
        } else {
            return;
        };
        // While the log is unavailable, appends are spaced by the retry interval.
        let interval = match self.log_unavailable_since {
            Some(_) => self.settings.retry_interval,
            None => self.settings.append_interval,
        };
        self.next_append_at = Some(now + interval);
        actions.push(LeaderAction::Append {
            append,
            record: Box::new(record),
        });
    }

    fn poll_batch(&mut self, now: Instant, append: u64) -> Option<BatchRecord> {
        let intervals = (self.settings.retry_interval, self.settings.checkpoint_interval);
        let orders = &self.orders;
        self.writer.as_mut()?.poll(now, append, intervals, || orders.logged())
    }

    fn poll_runners(&mut self, now: Instant, actions: &mut Vec<LeaderAction>) {
        if self.tenure == LeaderTenure::Follower {
            return;
        }
        let settings = &self.settings;
        let intervals = (settings.read_interval, settings.retry_interval);
        for (backend, runner) in &mut self.runners {
            let backend = backend.clone();
            match runner.poll(now, self.tenure, settings.address, intervals) {
                None => {}
                Some(RunnerCall::Raise(fencing)) => actions.push(LeaderAction::RaiseFencing { backend, fencing }),
                Some(RunnerCall::Read) => {
                    self.read_count += 1;
                    let read = self.read_count;
                    runner.read_sent(now, read);
                    actions.push(LeaderAction::ReadReport { backend, read });
                }
            }
        }
    }

    fn send_orders(&mut self, now: Instant, actions: &mut Vec<LeaderAction>) {
        if self.tenure == LeaderTenure::Follower {
            return;
        }
        let runners = &self.runners;
        let is_state_known = |backend: &BackendId| runners.get(backend).is_some_and(RunnerState::is_state_known);
        let due = self.orders.take_due(now, self.settings.retry_interval, is_state_known);
        actions.extend(due.into_iter().map(|intent| LeaderAction::SendOrder {
            backend: intent.backend,
            order: EngineOrder {
                order: intent.order,
                fencing: intent.fencing,
                accelerator: intent.accelerator,
                action: intent.action,
            },
        }));
    }
}
