//! Group commit: claims and outcomes of one failure domain gathered into few appends.

use std::{collections::VecDeque, time::Instant};

use snafu::Snafu;

use super::settings::BatcherSettings;
use crate::{
    ids::DomainId,
    log::{BatchRecord, KeyClaim, KeyOutcome},
};

/// The queue of claims is full; the claim certainly was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("too many claims wait for an append"))]
pub struct BatcherFull;

/// Gathers claims and outcomes, and hands out at most one batch an interval.
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
    /// [`BatcherFull`] when too many wait; the claim counts as not appended.
    pub fn push_claim(&mut self, claim: KeyClaim) -> Result<(), BatcherFull> {
        if self.claims.len() >= self.settings.max_queued_claims {
            return Err(BatcherFull);
        }
        self.claims.push_back(claim);
        Ok(())
    }

    /// Queues an outcome; when too many wait, the oldest is dropped and its key stays undecided, which is safe.
    pub fn push_outcome(&mut self, outcome: KeyOutcome) {
        if self.outcomes.len() >= self.settings.max_queued_outcomes {
            self.outcomes.pop_front();
            self.dropped_outcomes += 1;
        }
        self.outcomes.push_back(outcome);
    }

    /// Returns the next batch when there is one and the interval has passed.
    ///
    /// Claims go first, because a caller waits for each of them before anything is dispatched.
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

    /// Returns when the next batch may be taken, or `None` when nothing waits.
    pub fn next_append(&self, now: Instant) -> Option<Instant> {
        (!self.is_empty()).then(|| self.next_append.unwrap_or(now))
    }

    /// Returns how many outcomes were dropped because too many waited.
    pub fn dropped_outcomes(&self) -> u64 {
        self.dropped_outcomes
    }

    fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.outcomes.is_empty()
    }
}
