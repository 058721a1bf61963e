//! Group commit: batches the claims and outcomes of one failure domain to reduce the number of appends.

use std::{collections::VecDeque, time::Instant};

use snafu::Snafu;

use super::settings::BatcherSettings;
use crate::{
    ids::DomainId,
    log::{BatchRecord, KeyClaim, KeyOutcome},
};

/// The queue of claims is full; the claim was not queued and will not be appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the queue of claims to append is full"))]
pub struct BatcherFull;

/// Queues claims and outcomes, and returns at most one batch per append interval.
#[derive(Debug)]
pub struct ClaimBatcher {
    domain: DomainId,
    settings: BatcherSettings,
    claims: VecDeque<KeyClaim>,
    outcomes: VecDeque<KeyOutcome>,
    next_append: Option<Instant>,
    dropped_outcomes: u64,
}

impl ClaimBatcher {
    /// Creates a batcher for the appends of one failure domain.
    pub fn new(domain: DomainId, settings: BatcherSettings) -> Self {
        Self {
            domain,
            settings,
            claims: VecDeque::new(),
            outcomes: VecDeque::new(),
            next_append: None,
            dropped_outcomes: 0,
        }
    }

    /// Queues a claim.
    ///
    /// # Errors
    /// [`BatcherFull`] when the queue is full; the claim counts as not appended.
    pub fn push_claim(&mut self, claim: KeyClaim) -> Result<(), BatcherFull> {
        if self.claims.len() >= self.settings.max_queued_claims {
            return Err(BatcherFull);
        }
        self.claims.push_back(claim);
        Ok(())
    }

    /// Queues an outcome; when the queue is full, the oldest one is dropped and its key stays undecided, which is safe.
    pub fn push_outcome(&mut self, outcome: KeyOutcome) {
        if self.outcomes.len() >= self.settings.max_queued_outcomes {
            self.outcomes.pop_front();
            self.dropped_outcomes += 1;
        }
        self.outcomes.push_back(outcome);
    }

    /// Returns the next batch if an entry is queued and the append interval has passed.
    ///
    /// Claims go first, because each of them delays the dispatch of a request whose caller waits.
    pub fn next_batch(&mut self, now: Instant) -> Option<BatchRecord> {
        if self.next_append.is_some_and(|next| now < next) || self.is_empty() {
            return None;
        }
        self.next_append = Some(now + self.settings.append_interval);
        let claim_count = self.claims.len().min(self.settings.max_batch_entries);
        let outcome_count = self.outcomes.len().min(self.settings.max_batch_entries - claim_count);
        Some(BatchRecord {
            domain: self.domain.clone(),
            claims: self.claims.drain(..claim_count).collect(),
            outcomes: self.outcomes.drain(..outcome_count).collect(),
            ..BatchRecord::default()
        })
    }

    /// Returns when the next batch may be taken, or `None` when nothing is queued.
    pub fn next_append(&self, now: Instant) -> Option<Instant> {
        (!self.is_empty()).then(|| self.next_append.unwrap_or(now))
    }

    /// Returns how many outcomes were dropped because the queue was full.
    pub fn dropped_outcomes(&self) -> u64 {
        self.dropped_outcomes
    }

    fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.outcomes.is_empty()
    }
}
