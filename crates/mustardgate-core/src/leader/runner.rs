//! What a leader knows of one runner.

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
struct SentCall<T> {
    value: T,
    sent_at: Instant,
}

/// What is to be asked of a runner next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunnerCall {
    Raise(FencingNumber),
    Read,
}

/// One runner under the present tenure.
#[derive(Debug)]
pub(super) struct RunnerState {
    pub(super) config: RunnerConfig,
    ledgers: Vec<MemoryLedger>,
    /// Number that the engine was raised to by this leader.
    raised: Option<FencingNumber>,
    /// Largest number that the engine is known to hold.
    held: FencingNumber,
    is_held_known: bool,
    is_established: bool,
    raise: Option<SentCall<FencingNumber>>,
    read: Option<SentCall<u64>>,
    next_read_at: Option<Instant>,
    wait_until: Option<Instant>,
    sequence: u64,
    /// When the newest report was asked for, which is no later than when it was true.
    seen_at: Option<Instant>,
}

impl RunnerState {
    pub(super) fn new(config: RunnerConfig) -> Self {
        Self {
            ledgers: Vec::new(),
            config,
            raised: None,
            held: FencingNumber::default(),
            is_held_known: false,
            is_established: false,
            raise: None,
            read: None,
            next_read_at: None,
            wait_until: None,
            sequence: 0,
            seen_at: None,
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

    pub(super) fn refuses_old(&self) -> bool {
        self.config.fencing == FencingSupport::Refuses
    }

    /// Returns whether memory may be committed here: the state was read under this tenure.
    pub(super) fn is_established(&self) -> bool {
        self.is_established
    }

    pub(super) fn raised(&self) -> Option<FencingNumber> {
        self.raised
    }

    pub(super) fn is_fresh(&self, now: Instant, freshness: Duration) -> bool {
        self.is_established && self.seen_at.is_some_and(|seen| now < seen + freshness)
    }

    /// Returns the next call, when one is due, and counts it as sent.
    pub(super) fn poll(
        &mut self,
        now: Instant,
        tenure: LeaderTenure,
        address: u64,
        intervals: (Duration, Duration),
    ) -> Option<RunnerCall> {
        let (read_interval, retry_interval) = intervals;
        if self.wait_until.is_some_and(|until| now < until) {
            return None;
        }
        if self.refuses_old() && self.raised.is_none() && self.may_raise(tenure) {
            if self.raise.is_some_and(|call| now < call.sent_at + retry_interval) {
                return None;
            }
            // A raise whose answer was lost may have succeeded, so its number is never asked for again.
            let unanswered = self.raise.map_or(FencingNumber::default(), |call| call.value);
            let number = tenure.number_above(self.held.max(unanswered), address)?;
            self.raise = Some(SentCall {
                value: number,
                sent_at: now,
            });
            return Some(RunnerCall::Raise(number));
        }
        let is_waiting = self.read.is_some_and(|call| now < call.sent_at + retry_interval);
        if is_waiting || self.next_read_at.is_some_and(|at| now < at) {
            return None;
        }
        self.next_read_at = Some(now + read_interval);
        Some(RunnerCall::Read)
    }

    /// Without the log the number to raise to starts from what the engine holds.
    fn may_raise(&self, tenure: LeaderTenure) -> bool {
        tenure != LeaderTenure::Succeeded || self.is_held_known
    }

    pub(super) fn read_sent(&mut self, now: Instant, read: u64) {
        self.read = Some(SentCall {
            value: read,
            sent_at: now,
        });
    }

    /// Matches an answer to the read that is waited for, and returns when that was sent.
    pub(super) fn take_read(&mut self, read: u64) -> Option<Instant> {
        let call = self.read.take_if(|call| call.value == read)?;
        Some(call.sent_at)
    }

    /// Matches an answer to the raise that is waited for, and returns when that was sent.
    pub(super) fn take_raise(&mut self, fencing: FencingNumber) -> Option<Instant> {
        let call = self.raise.take_if(|call| call.value == fencing)?;
        Some(call.sent_at)
    }

    pub(super) fn note_held(&mut self, held: FencingNumber) {
        self.held = self.held.max(held);
        self.is_held_known = true;
    }

    /// Returns whether another leader has raised the engine above this leader's number.
    pub(super) fn is_fenced(&self) -> bool {
        self.raised.is_some_and(|raised| self.held > raised)
    }

    /// Returns whether the engine forgot the number it was raised to, as one that restarted may.
    pub(super) fn has_forgotten(&self, report: &EngineReport) -> bool {
        report.sequence > self.sequence && self.raised.is_some_and(|raised| report.fencing < raised)
    }

    /// Gives the runner up until `until`, after another leader raised its number.
    pub(super) fn fence_off(&mut self, until: Instant) {
        self.raised = None;
        self.raise = None;
        self.is_established = false;
        self.wait_until = Some(until);
    }

    /// Notes that the raise succeeded: every order under a smaller number is dead.
    pub(super) fn establish_raised(&mut self, fencing: FencingNumber) {
        self.raised = Some(fencing);
    }

    /// Builds the ledgers from the orders that are still open.
    pub(super) fn establish<'a>(&mut self, open: impl Iterator<Item = &'a OrderIntent>) {
        self.ledgers = self
            .config
            .accelerators
            .iter()
            .map(|capacity| MemoryLedger::new(*capacity))
            .collect();
        for intent in open {
            if let Some(ledger) = self.ledgers.get_mut(usize::from(intent.accelerator)) {
                ledger.inherit(OpenOrder {
                    order: intent.order.clone(),
                    action: intent.action.clone(),
                });
            }
        }
        self.is_established = true;
    }

    /// Takes in a report unless a newer one was; returns whether it did, or what the report violates.
    pub(super) fn apply_report(&mut self, asked_at: Instant, report: &EngineReport) -> Result<bool, LedgerViolation> {
        if report.sequence <= self.sequence {
            return Ok(false);
        }
        self.sequence = report.sequence;
        self.seen_at = Some(asked_at);
        let mut outcome = Ok(true);
        for (index, ledger) in self.ledgers.iter_mut().enumerate() {
            let here = report
                .resident
                .iter()
                .filter(|held| usize::from(held.accelerator) == index);
            if let Err(violation) = ledger.apply_report(here.cloned(), &report.settled) {
                outcome = Err(violation);
            }
        }
        outcome
    }

    pub(super) fn ledger_mut(&mut self, accelerator: AcceleratorIndex) -> Option<&mut MemoryLedger> {
        self.ledgers.get_mut(usize::from(accelerator))
    }

    /// Returns the accelerators on which the weights answered in the newest report.
    pub(super) fn answering<'a>(&'a self, artifact: &'a Artifact) -> impl Iterator<Item = AcceleratorIndex> + 'a {
        let ledgers = self.ledgers.iter().zip(0..);
        ledgers.filter_map(|(ledger, index)| ledger.is_answering(artifact).then_some(index))
    }

    pub(super) fn view(&self, is_fresh: bool) -> RunnerView {
        let accelerator = |(ledger, capacity_mib): (&MemoryLedger, &MemoryMib)| AcceleratorView {
            capacity_mib: *capacity_mib,
            holdings: ledger.holdings(),
        };
        RunnerView {
            backend: self.config.backend.clone(),
            is_unschedulable: self.config.is_leaving || !is_fresh,
            max_concurrency: self.config.max_concurrency,
            accelerators: self
                .ledgers
                .iter()
                .zip(&self.config.accelerators)
                .map(accelerator)
                .collect(),
        }
    }
}
