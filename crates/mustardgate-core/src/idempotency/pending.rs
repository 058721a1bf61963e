//! Pending keyed requests of this node: not answered yet, or with a claim that may still appear in the log.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use super::action::{KeyId, KeyRequest};
use crate::ids::RequestId;

/// One pending keyed request of this node.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub id: KeyId,
    pub digest: u64,
    pub phase: PendingPhase,
    /// Time at which the phase times out.
    pub until: Instant,
    pub deadline: Instant,
}

/// Phase of a pending keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingPhase {
    /// Its claim is to be appended and has not been read back from the log.
    Claiming,
    /// Another claim of the key is in force, and its outcome is awaited.
    Waiting,
    /// Its claim is in force and its dispatch was ordered.
    Dispatched,
    /// The caller was refused while the claim may still appear in the log; the request will not be dispatched.
    Abandoned,
}

/// The pending keyed requests, indexed by request and by key.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    by_request: BTreeMap<RequestId, PendingRequest>,
    by_key: BTreeMap<KeyId, BTreeSet<RequestId>>,
}

impl PendingRequests {
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    pub fn insert(&mut self, request: &KeyRequest, phase: PendingPhase, until: Instant) {
        let pending = PendingRequest {
            id: request.id.clone(),
            digest: request.digest,
            phase,
            until,
            deadline: request.deadline,
        };
        self.by_key
            .entry(request.id.clone())
            .or_default()
            .insert(request.request.clone());
        self.by_request.insert(request.request.clone(), pending);
    }

    pub fn get(&self, request: &RequestId) -> Option<&PendingRequest> {
        self.by_request.get(request)
    }

    pub fn phase(&self, request: &RequestId) -> Option<PendingPhase> {
        self.by_request.get(request).map(|pending| pending.phase)
    }

    pub fn set_phase(&mut self, request: &RequestId, phase: PendingPhase, until: Instant) {
        if let Some(pending) = self.by_request.get_mut(request) {
            pending.phase = phase;
            pending.until = until;
        }
    }

    pub fn remove(&mut self, request: &RequestId) -> Option<PendingRequest> {
        let pending = self.by_request.remove(request)?;
        if let Some(requests) = self.by_key.get_mut(&pending.id) {
            requests.remove(request);
            if requests.is_empty() {
                self.by_key.remove(&pending.id);
            }
        }
        Some(pending)
    }

    /// Returns the requests for one key that are in `phase`.
    pub fn with_key(&self, id: &KeyId, phase: PendingPhase) -> Vec<RequestId> {
        let requests = self.by_key.get(id).into_iter().flatten();
        requests
            .filter(|request| self.phase(request) == Some(phase))
            .cloned()
            .collect()
    }

    /// Returns the requests in `phase`.
    pub fn in_phase(&self, phase: PendingPhase) -> Vec<RequestId> {
        let requests = self.by_request.iter().filter(|(_, pending)| pending.phase == phase);
        requests.map(|(request, _)| request.clone()).collect()
    }

    /// Returns the requests whose phase has timed out; a dispatched request never times out, it ends by its outcome.
    pub fn overdue(&self, now: Instant) -> Vec<RequestId> {
        let requests = self.by_request.iter();
        requests
            .filter(|(_, pending)| pending.phase != PendingPhase::Dispatched && now >= pending.until)
            .map(|(request, _)| request.clone())
            .collect()
    }
}
