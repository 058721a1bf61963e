//! State that a leader keeps of one runner.

use std::time::{Duration, Instant};

use super::settings::{LeaderTenure, RunnerConfig};
use crate::{
    ids::{AcceleratorIndex, FencingNumber, MemoryMib},
    ledger::{LedgerViolation, MemoryLedger, OpenOrder},
    log::{Artifact, OrderIntent},
    placement::{AcceleratorView, RunnerView},
    ports::EngineReport,
    resources::FencingSupport,
};

#[derive(Clone, Copy, Debug)]
struct PendingCall<T> {
    value: T,
    sent_at: Instant,
}

/// Next call to a runner's engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunnerCall {
    Raise(FencingNumber),
    Read,
}

/// State of one runner in the current tenure.
#[derive(Debug)]
pub(super) struct RunnerState {
    pub(super) config: RunnerConfig,
    ledgers: Vec<MemoryLedger>,
    /// Fencing number to which this leader raised the engine.
    raised_fencing: Option<FencingNumber>,
    /// Largest fencing number that the engine is known to have seen.
    engine_fencing: FencingNumber,
    is_engine_fencing_known: bool,
    is_state_known: bool,
    pending_raise: Option<PendingCall<FencingNumber>>,
    pending_read: Option<PendingCall<u64>>,
    next_read_at: Option<Instant>,
    suspended_until: Option<Instant>,
    report_sequence: u64,
    /// When the newest report was requested; it shows the engine as of this moment or later.
    report_requested_at: Option<Instant>,
}

impl RunnerState {
    pub(super) fn new(config: RunnerConfig) -> Self {
        Self {
            ledgers: Vec::new(),
            config,
            raised_fencing: None,
            engine_fencing: FencingNumber::default(),
            is_engine_fencing_known: false,
            is_state_known: false,
            pending_raise: None,
            pending_read: None,
            next_read_at: None,
            suspended_until: None,
            report_sequence: 0,
            report_requested_at: None,
        }
    }

    pub(super) fn set_config(&mut self, config: RunnerConfig) {
        if config.fencing != self.config.fencing || config.accelerators.len() != self.config.accelerators.len() {
            *self = Self::new(config);
            return;
        }
        for (ledger, capacity) in self.ledgers.iter_mut().zip(&config.accelerators) {
            ledger.set_capacity(*capacity);
        }
        self.config = config;
    }

    pub(super) fn enforces_fencing(&self) -> bool {
        self.config.fencing == FencingSupport::Refuses
    }

    /// Returns whether the runner's state was read in this tenure, so that memory may be committed on it.
    pub(super) fn is_state_known(&self) -> bool {
        self.is_state_known
    }

    pub(super) fn raised_fencing(&self) -> Option<FencingNumber> {
        self.raised_fencing
    }

    pub(super) fn is_fresh(&self, now: Instant, freshness: Duration) -> bool {
        self.is_state_known && self.report_requested_at.is_some_and(|at| now < at + freshness)
    }

    /// Returns the next call if one is due, and schedules the one after it.
    pub(super) fn poll(
        &mut self,
        now: Instant,
        tenure: LeaderTenure,
        address: u64,
        intervals: (Duration, Duration),
    ) -> Option<RunnerCall> {
        let (read_interval, retry_interval) = intervals;
        if self.suspended_until.is_some_and(|until| now < until) {
            return None;
        }
        if self.enforces_fencing() && self.raised_fencing.is_none() && self.may_raise(tenure) {
            if self
                .pending_raise
                .is_some_and(|call| now < call.sent_at + retry_interval)
            {
                return None;
            }
            // A raise whose response was lost may have succeeded, so its number is never requested again.
            let unanswered = self.pending_raise.map_or(FencingNumber::default(), |call| call.value);
            let number = tenure.next_fencing(self.engine_fencing.max(unanswered), address)?;
            self.pending_raise = Some(PendingCall {
                value: number,
                sent_at: now,
            });
            return Some(RunnerCall::Raise(number));
        }
        let is_read_pending = self
            .pending_read
            .is_some_and(|call| now < call.sent_at + retry_interval);
        if is_read_pending || self.next_read_at.is_some_and(|at| now < at) {
            return None;
        }
        self.next_read_at = Some(now + read_interval);
        Some(RunnerCall::Read)
    }

    /// Returns whether the number to raise to is determined; without the log it derives from the engine's own number.
    fn may_raise(&self, tenure: LeaderTenure) -> bool {
        tenure != LeaderTenure::Succeeded || self.is_engine_fencing_known
    }

    pub(super) fn read_sent(&mut self, now: Instant, read: u64) {
        self.pending_read = Some(PendingCall {
            value: read,
            sent_at: now,
        });
    }

    /// Completes the pending read if its number is `read`, and returns when it was sent.
    pub(super) fn complete_read(&mut self, read: u64) -> Option<Instant> {
        let call = self.pending_read.take_if(|call| call.value == read)?;
        Some(call.sent_at)
    }

    /// Completes the pending raise if it is to `fencing`, and returns when it was sent.
    pub(super) fn complete_raise(&mut self, fencing: FencingNumber) -> Option<Instant> {
        let call = self.pending_raise.take_if(|call| call.value == fencing)?;
        Some(call.sent_at)
    }

    pub(super) fn observe_fencing(&mut self, fencing: FencingNumber) {
        self.engine_fencing = self.engine_fencing.max(fencing);
        self.is_engine_fencing_known = true;
    }

    /// Returns whether another leader has raised the engine above this leader's number.
    pub(super) fn is_fenced(&self) -> bool {
        self.raised_fencing.is_some_and(|raised| self.engine_fencing > raised)
    }

    /// Returns whether the engine lost the fencing number it was raised to, as a restarted engine may.
    pub(super) fn has_lost_fencing(&self, report: &EngineReport) -> bool {
        report.sequence > self.report_sequence && self.raised_fencing.is_some_and(|raised| report.fencing < raised)
    }

    /// Stops using the runner until `until`, because its engine was raised by another leader or lost its number.
    pub(super) fn suspend_until(&mut self, until: Instant) {
        self.raised_fencing = None;
        self.pending_raise = None;
        self.is_state_known = false;
        self.suspended_until = Some(until);
    }

    /// Records a successful raise, after which no order under a smaller number takes effect.
    pub(super) fn confirm_raise(&mut self, fencing: FencingNumber) {
        self.raised_fencing = Some(fencing);
    }

    /// Builds the ledgers from the orders that are still open; the runner's state is known from then on.
    pub(super) fn rebuild_ledgers<'a>(&mut self, open_intents: impl Iterator<Item = &'a OrderIntent>) {
        self.ledgers = self
            .config
            .accelerators
            .iter()
            .map(|capacity| MemoryLedger::new(*capacity))
            .collect();
        for intent in open_intents {
            if let Some(ledger) = self.ledgers.get_mut(usize::from(intent.accelerator)) {
                ledger.inherit(OpenOrder {
                    order: intent.order.clone(),
                    action: intent.action.clone(),
                });
            }
        }
        self.is_state_known = true;
    }

    /// Applies a report unless a newer one was applied; returns whether it did, or what the report violates.
    pub(super) fn apply_report(
        &mut self,
        requested_at: Instant,
        report: &EngineReport,
    ) -> Result<bool, LedgerViolation> {
        if report.sequence <= self.report_sequence {
            return Ok(false);
        }
        self.report_sequence = report.sequence;
        self.report_requested_at = Some(requested_at);
        let mut outcome = Ok(true);
        for (index, ledger) in self.ledgers.iter_mut().enumerate() {
            let on_accelerator = report
                .resident
                .iter()
                .filter(|resident| usize::from(resident.accelerator) == index);
            if let Err(violation) = ledger.apply_report(on_accelerator.cloned(), &report.settled) {
                outcome = Err(violation);
            }
        }
        outcome
    }

    pub(super) fn ledger_mut(&mut self, accelerator: AcceleratorIndex) -> Option<&mut MemoryLedger> {
        self.ledgers.get_mut(usize::from(accelerator))
    }

    /// Returns the accelerators on which the weights were ready in the newest report and no order for them is open.
    pub(super) fn ready_accelerators<'a>(
        &'a self,
        artifact: &'a Artifact,
    ) -> impl Iterator<Item = AcceleratorIndex> + 'a {
        let ledgers = self.ledgers.iter().zip(0..);
        ledgers.filter_map(|(ledger, index)| ledger.is_available(artifact).then_some(index))
    }

    pub(super) fn view(&self, is_fresh: bool) -> RunnerView {
        let accelerator = |(ledger, capacity_mib): (&MemoryLedger, &MemoryMib)| AcceleratorView {
            capacity_mib: *capacity_mib,
            holdings: ledger.holdings(),
        };
        RunnerView {
            backend: self.config.backend.clone(),
            is_unschedulable: self.config.is_leaving || !is_fresh,
            request_capacity: self.config.max_concurrency,
            request_limit: None,
            accelerators: self
                .ledgers
                .iter()
                .zip(&self.config.accelerators)
                .map(accelerator)
                .collect(),
        }
    }
}
