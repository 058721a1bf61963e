//! The record of one key, as the log has it up to the offset replayed.

use crate::{
    ids::{NodeId, RequestId},
    log::{KeyClaim, KeyOutcome, StoredAnswer},
    verdict::RunVerdict,
};

/// The record of one key.
#[derive(Clone, Debug)]
pub(super) struct KeyEntry {
    /// Digest of the request that the key stands for.
    pub digest: u64,
    /// Request that holds the claim in force.
    pub owner: RequestId,
    /// Node that holds it.
    pub node: NodeId,
    /// What became of it.
    pub state: EntryState,
}

/// What became of the claim in force.
#[derive(Clone, Debug)]
pub(super) enum EntryState {
    /// The owner may dispatch, or have dispatched.
    Open,
    /// The owner recorded the outcome.
    Settled {
        verdict: RunVerdict,
        answer: Option<StoredAnswer>,
    },
    /// The owner recorded that it did not and will not dispatch, and left the key to the next claim.
    Released,
}

impl KeyEntry {
    /// Returns the record that a first claim makes.
    pub fn open(claim: &KeyClaim) -> Self {
        Self {
            digest: claim.digest,
            owner: claim.request.clone(),
            node: claim.node.clone(),
            state: EntryState::Open,
        }
    }

    /// Gives a released key to the next claim; returns whether the claim is in force.
    pub fn reopen(&mut self, claim: &KeyClaim) -> bool {
        let is_free = matches!(self.state, EntryState::Released) && self.digest == claim.digest;
        if is_free {
            self.owner = claim.request.clone();
            self.node = claim.node.clone();
            self.state = EntryState::Open;
        }
        is_free
    }

    /// Returns whether an outcome is one that the owner of the claim in force may record.
    pub fn accepts(&self, outcome: &KeyOutcome) -> bool {
        if self.owner != outcome.request {
            return false;
        }
        match self.state {
            EntryState::Open => true,
            EntryState::Settled { verdict, .. } => {
                verdict == RunVerdict::MayHaveRun && outcome.verdict == RunVerdict::Ran
            }
            EntryState::Released => false,
        }
    }

    /// Returns the verdict on the key as far as the record goes.
    pub fn verdict(&self) -> RunVerdict {
        match self.state {
            EntryState::Settled { verdict, .. } => verdict,
            EntryState::Open | EntryState::Released => RunVerdict::MayHaveRun,
        }
    }

    /// Returns the bytes of the answer kept.
    pub fn answer_bytes(&self) -> usize {
        match &self.state {
            EntryState::Settled {
                answer: Some(answer), ..
            } => answer_bytes(answer),
            _ => 0,
        }
    }
}

/// Returns the bytes that an answer takes.
pub(super) fn answer_bytes(answer: &StoredAnswer) -> usize {
    answer.body.len() + answer.content_type.len()
}
