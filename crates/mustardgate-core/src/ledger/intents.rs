//! Follows the open intents of one failure domain through the log.

use std::{collections::BTreeMap, mem};

use crate::{
    ids::{DomainId, Offset, OrderId},
    log::{BatchRecord, OrderIntent},
};

/// Intents that the log shows as open; a new leader must reserve memory for them before it commits any.
#[derive(Debug)]
pub struct OpenIntents {
    domain: DomainId,
    open: BTreeMap<OrderId, OrderIntent>,
    is_complete: bool,
    newest: Option<(Offset, u64)>,
    /// Batches read before it was known which claim was in force.
    undecided: Vec<BatchRecord>,
}

impl OpenIntents {
    /// Creates an empty set, before anything was read.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            open: BTreeMap::new(),
            is_complete: false,
            newest: None,
            undecided: Vec::new(),
        }
    }

    /// Starts reading the log at `from`; on a trimmed log the set is complete only after a checkpoint.
    pub fn start(&mut self, from: Offset) {
        self.open.clear();
        self.newest = None;
        self.undecided.clear();
        self.is_complete = from == 0;
    }

    /// Applies the batches that were read before `claim` was known to be in force.
    ///
    /// A claim is in force from its own offset on, so every batch read so far under it took effect.
    pub fn confirm_claim(&mut self, claim: Offset) {
        for batch in mem::take(&mut self.undecided) {
            self.observe(&batch, Some(claim));
        }
    }

    /// Applies a batch if it is under the claim in force and not a repeated append; returns whether it took effect.
    pub fn observe(&mut self, batch: &BatchRecord, claim_in_force: Option<Offset>) -> bool {
        let Some(lease) = batch.lease.filter(|_| batch.domain == self.domain) else {
            return false;
        };
        if claim_in_force.is_none() {
            self.undecided.push(batch.clone());
        }
        let position = (lease.claim, lease.sequence);
        let is_repeated = self.newest.is_some_and(|newest| position <= newest);
        if claim_in_force != Some(lease.claim) || is_repeated {
            return false;
        }
        self.newest = Some(position);
        if lease.is_checkpoint {
            self.open.clear();
            self.is_complete = true;
        }
        for intent in &batch.intents {
            self.open.insert(intent.order.clone(), intent.clone());
        }
        for order in &batch.settled {
            self.open.remove(order);
        }
        true
    }

    /// Returns whether no open intent can be missing.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the open intents, ordered by order.
    pub fn open(&self) -> impl Iterator<Item = &OrderIntent> {
        self.open.values()
    }
}
