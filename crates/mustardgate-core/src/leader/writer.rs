//! Batches intents and settlements of one tenure into log records.

use std::{
    mem,
    time::{Duration, Instant},
};

use crate::{
    ids::{DomainId, Offset, OrderId},
    log::{BatchLease, BatchRecord, OrderIntent},
};

#[derive(Debug)]
struct InFlightBatch {
    record: BatchRecord,
    append: u64,
    sent_at: Instant,
    has_failed: bool,
}

/// Writes the batches of one lease claim one at a time, repeating each under its sequence number until it is read back.
#[derive(Debug)]
pub(super) struct BatchWriter {
    domain: DomainId,
    claim: Offset,
    sequence: u64,
    intents: Vec<OrderIntent>,
    settled: Vec<OrderId>,
    in_flight: Option<InFlightBatch>,
    next_checkpoint_at: Option<Instant>,
}

impl BatchWriter {
    pub(super) fn new(domain: DomainId, claim: Offset) -> Self {
        Self {
            domain,
            claim,
            sequence: 0,
            intents: Vec::new(),
            settled: Vec::new(),
            in_flight: None,
            next_checkpoint_at: None,
        }
    }

    pub(super) fn add_intent(&mut self, intent: OrderIntent) {
        self.intents.push(intent);
    }

    pub(super) fn add_settled(&mut self, order: OrderId) {
        self.settled.push(order);
    }

    pub(super) fn append_failed(&mut self, append: u64) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.has_failed |= in_flight.append == append;
        }
    }

    /// Completes the batch with number `sequence`, which was read back from the log.
    pub(super) fn confirm(&mut self, sequence: u64) {
        if sequence == self.sequence {
            self.in_flight = None;
        }
    }

    /// Returns the batch to append at `now`, if any; `open_intents` returns every open intent for a checkpoint.
    pub(super) fn poll(
        &mut self,
        now: Instant,
        append: u64,
        intervals: (Duration, Duration),
        open_intents: impl FnOnce() -> Vec<OrderIntent>,
    ) -> Option<BatchRecord> {
        let (retry_interval, checkpoint_interval) = intervals;
        if let Some(in_flight) = &mut self.in_flight {
            if !in_flight.has_failed && now < in_flight.sent_at + retry_interval {
                return None;
            }
            in_flight.sent_at = now;
            in_flight.append = append;
            in_flight.has_failed = false;
            return Some(in_flight.record.clone());
        }
        let is_checkpoint = self.next_checkpoint_at.is_none_or(|at| now >= at);
        if !is_checkpoint && self.intents.is_empty() && self.settled.is_empty() {
            return None;
        }
        if is_checkpoint {
            self.next_checkpoint_at = Some(now + checkpoint_interval);
            self.intents = open_intents();
            self.settled.clear();
        }
        Some(self.start_batch(now, append, is_checkpoint))
    }

    fn start_batch(&mut self, now: Instant, append: u64, is_checkpoint: bool) -> BatchRecord {
        self.sequence += 1;
        let record = BatchRecord {
            domain: self.domain.clone(),
            lease: Some(BatchLease {
                claim: self.claim,
                sequence: self.sequence,
                is_checkpoint,
            }),
            intents: mem::take(&mut self.intents),
            settled: mem::take(&mut self.settled),
            ..BatchRecord::default()
        };
        self.in_flight = Some(InFlightBatch {
            record: record.clone(),
            append,
            sent_at: now,
            has_failed: false,
        });
        record
    }
}
