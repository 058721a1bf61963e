//! Follows the open intents of one failure domain through the log.

use std::{collections::BTreeMap, mem};

use crate::{
    ids::{DomainId, Offset, OrderId},
    log::{BatchRecord, OrderIntent},
};

/// The intents that log order left open: what a new leader must reserve memory for before it commits any.
#[derive(Debug)]
pub struct IntentBook {
    domain: DomainId,
    open: BTreeMap<OrderId, OrderIntent>,
    is_complete: bool,
    newest: Option<(Offset, u64)>,
    /// Batches read before it was known which claim was in force.
    unjudged: Vec<BatchRecord>,
}

impl IntentBook {
    /// Creates a book that has read nothing.
    pub fn new(domain: DomainId) -> Self {
        Self {
            domain,
            open: BTreeMap::new(),
            is_complete: false,
            newest: None,
            unjudged: Vec::new(),
        }
    }

    /// Starts following at `from`; from a trimmed log the book is complete only after a checkpoint.
    pub fn start(&mut self, from: Offset) {
        self.open.clear();
        self.newest = None;
        self.unjudged.clear();
        self.is_complete = from == 0;
    }

    /// Judges the batches that were read before `claim` was known to be in force.
    ///
    /// A claim is in force from its own offset on, so every earlier batch under it took effect.
    pub fn confirm_claim(&mut self, claim: Offset) {
        for batch in mem::take(&mut self.unjudged) {
            self.observe(&batch, Some(claim));
        }
    }

    /// Takes in a batch and returns whether it took effect: under the claim in force, and not a repeated append.
    pub fn observe(&mut self, batch: &BatchRecord, claim_in_force: Option<Offset>) -> bool {
        let Some(lease) = batch.lease.filter(|_| batch.domain == self.domain) else {
            return false;
        };
        if claim_in_force.is_none() {
            self.unjudged.push(batch.clone());
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
