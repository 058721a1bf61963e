//! Record of one key, as of the offset up to which the log was replayed.

use crate::{
    ids::{NodeId, RequestId},
    log::{KeyClaim, KeyOutcome, StoredAnswer},
    verdict::RunVerdict,
};

/// Record of one key.
#[derive(Clone, Debug)]
pub(super) struct KeyEntry {
    /// Digest of the request for which the key was claimed.
    pub digest: u64,
    /// Request that holds the claim in force.
    pub owner: RequestId,
    /// Node that appended the claim in force.
    pub node: NodeId,
    /// State of the claim in force.
    pub state: EntryState,
}

/// State of the claim in force.
#[derive(Clone, Debug)]
pub(super) enum EntryState {
    /// No outcome is recorded; the owner may dispatch the request or may have dispatched it.
    Open,
    /// The owner recorded the outcome.
    Settled {
        verdict: RunVerdict,
        answer: Option<StoredAnswer>,
    },
    /// The owner recorded that it did not and will not dispatch; the next claim takes the key over.
    Released,
}

impl KeyEntry {
    /// Creates the record of a key from its first claim.
    pub fn open(claim: &KeyClaim) -> Self {
        Self {
            digest: claim.digest,
            owner: claim.request.clone(),
            node: claim.node.clone(),
            state: EntryState::Open,
        }
    }

    /// Puts a claim of a released key in force; returns whether it is in force now.
    pub fn reopen(&mut self, claim: &KeyClaim) -> bool {
        let is_claimable = matches!(self.state, EntryState::Released) && self.digest == claim.digest;
        if is_claimable {
            self.owner = claim.request.clone();
            self.node = claim.node.clone();
            self.state = EntryState::Open;
        }
        is_claimable
    }

    /// Returns whether an outcome comes from the owner of the claim in force and may replace the current state.
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

    /// Returns the verdict on the key according to the record.
    pub fn verdict(&self) -> RunVerdict {
        match self.state {
            EntryState::Settled { verdict, .. } => verdict,
            EntryState::Open | EntryState::Released => RunVerdict::MayHaveRun,
        }
    }

    /// Returns the size of the stored answer in bytes, or 0 if there is none.
    pub fn answer_bytes(&self) -> usize {
        match &self.state {
            EntryState::Settled {
                answer: Some(answer), ..
            } => answer_bytes(answer),
            _ => 0,
        }
    }
}

/// Returns the size of an answer in bytes: its body and its content type.
pub(super) fn answer_bytes(answer: &StoredAnswer) -> usize {
    answer.body.len() + answer.content_type.len()
}
