//! Key table: decides which keyed requests this node may dispatch, and how the others are answered.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use super::{
    action::{KeyAction, KeyId, KeyRefusal, KeyRequest},
    entry::{EntryState, KeyEntry, answer_bytes},
    pending::{PendingPhase, PendingRequests},
    settings::KeySettings,
};
use crate::{
    ids::{NodeId, Offset, RequestId},
    log::{KeyClaim, KeyOutcome, StoredAnswer},
    verdict::RunVerdict,
};

/// Counters of a key table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyCounters {
    /// Requests for which [`KeyAction::Dispatch`] was returned.
    pub dispatches: u64,
    /// Claims read while an earlier claim of the same key was in force.
    pub lost_claims: u64,
    /// Outcomes read and ignored, because they were not the owner's to record.
    pub ignored_outcomes: u64,
    /// Number of times that records were trimmed before this node read them.
    pub gaps: u64,
    /// Steps refused because they would have broken an invariant; a value above zero indicates a bug.
    pub violations: u64,
}

/// Whether the record of keys contains every claim of the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordCoverage {
    /// The replay has not started.
    NotStarted,
    /// Every claim inside the window was read.
    Complete,
    /// Claims may be missing; from this time on, all missing claims are older than the window.
    CompleteFrom(Instant),
}

/// Record of the keys at one node, and its pending keyed requests.
///
/// [`KeyTable::request`] handles requests, [`KeyTable::replay`] entries of the log, and [`KeyTable::finish`] the end of
/// the attempts of a request. Each returns the actions to perform. Only the replay of the log leads to a dispatch.
#[derive(Debug)]
pub struct KeyTable {
    pub(super) node: NodeId,
    pub(super) settings: KeySettings,
    pub(super) entries: BTreeMap<KeyId, KeyEntry>,
    pub(super) by_offset: BTreeSet<(Offset, KeyId)>,
    pub(super) pending: PendingRequests,
    pub(super) next_offset: Offset,
    pub(super) coverage: RecordCoverage,
    pub(super) is_log_unavailable: bool,
    pub(super) answer_bytes: usize,
    pub(super) counters: KeyCounters,
}

impl KeyTable {
    /// Creates an empty table, which refuses every key until [`KeyTable::start`] is called.
    pub fn new(node: NodeId, settings: KeySettings) -> Self {
        Self {
            node,
            settings,
            entries: BTreeMap::new(),
            by_offset: BTreeSet::new(),
            pending: PendingRequests::default(),
            next_offset: 0,
            coverage: RecordCoverage::NotStarted,
            is_log_unavailable: false,
            answer_bytes: 0,
            counters: KeyCounters::default(),
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> KeyCounters {
        self.counters
    }

    /// Returns the offset from which the log is to be read next.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns how many keys are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the record of keys covers the whole window, so that new keys may be claimed.
    pub fn is_complete(&self, now: Instant) -> bool {
        match self.coverage {
            RecordCoverage::NotStarted => false,
            RecordCoverage::Complete => true,
            RecordCoverage::CompleteFrom(start) => now >= start,
        }
    }

    /// Handles a keyed request that arrived.
    pub fn request(&mut self, request: &KeyRequest, now: Instant) -> Vec<KeyAction> {
        if self.pending.get(&request.request).is_some() {
            return self.refuse_violation(request);
        }
        match self.entries.get(&request.id) {
            Some(entry) if entry.digest != request.digest => {
                let verdict = entry.verdict();
                vec![self.refuse(&request.request, KeyRefusal::Conflict, verdict)]
            }
            Some(entry) if !matches!(entry.state, EntryState::Released) => self.answer_from_entry(request, now),
            _ => self.claim_key(request, now),
        }
    }

    /// Handles a claim that was definitely not appended.
    pub fn claim_not_appended(&mut self, claim: &KeyClaim) -> Vec<KeyAction> {
        match self.pending.phase(&claim.request) {
            Some(PendingPhase::Claiming) => {
                self.pending.remove(&claim.request);
                vec![self.refuse(&claim.request, KeyRefusal::LogUnavailable, RunVerdict::MayHaveRun)]
            }
            Some(PendingPhase::Abandoned) => {
                self.pending.remove(&claim.request);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Sets whether the log is unavailable; while it is, new keys and waiting deliveries are refused at once.
    ///
    /// A claim whose append succeeded or has an unknown result needs no call: the replay decides it.
    pub fn set_log_unavailable(&mut self, is_log_unavailable: bool) -> Vec<KeyAction> {
        self.is_log_unavailable = is_log_unavailable;
        if !is_log_unavailable {
            return Vec::new();
        }
        let waiting = self.pending.in_phase(PendingPhase::Waiting);
        self.refuse_all(waiting, KeyRefusal::LogUnavailable)
    }

    /// Records the outcome of a dispatched request after its last attempt, and answers the caller.
    ///
    /// [`RunVerdict::NotRun`] closes the key: no delivery of it will be dispatched any more, so the caller can be told
    /// this verdict and may use a new key.
    pub fn finish(&mut self, request: &RequestId, verdict: RunVerdict, answer: Option<StoredAnswer>) -> Vec<KeyAction> {
        let Some(id) = self.take_dispatched(request) else {
            return Vec::new();
        };
        let reported_verdict = self.reportable_verdict(&id, request, verdict);
        let stored_answer = answer
            .as_ref()
            .filter(|answer| answer_bytes(answer) <= self.settings.max_answer_bytes)
            .cloned();
        let outcome = KeyOutcome {
            tenant: id.tenant,
            key: id.key,
            request: request.clone(),
            verdict: reported_verdict,
            is_released: false,
            answer: stored_answer,
        };
        let answer_action = KeyAction::Answer {
            request: request.clone(),
            verdict: reported_verdict,
            answer,
        };
        vec![KeyAction::AppendOutcome(outcome), answer_action]
    }

    /// Releases the key of a dispatched request of which no byte was sent, so that the same key may be tried again.
    ///
    /// The caller is not told [`RunVerdict::NotRun`], because another delivery may claim the key from now on.
    pub fn release(&mut self, request: &RequestId) -> Vec<KeyAction> {
        let Some(id) = self.take_dispatched(request) else {
            return Vec::new();
        };
        let refusal = self.refuse(request, KeyRefusal::Released, RunVerdict::MayHaveRun);
        vec![append_release(&id, request), refusal]
    }

    /// Refuses the requests whose wait has timed out.
    pub fn tick(&mut self, now: Instant) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        for request in self.pending.overdue(now) {
            match self.pending.phase(&request) {
                Some(PendingPhase::Claiming) => {
                    let until = now + self.settings.window;
                    self.pending.set_phase(&request, PendingPhase::Abandoned, until);
                    actions.push(self.refuse(&request, KeyRefusal::Undecided, RunVerdict::MayHaveRun));
                }
                Some(PendingPhase::Waiting) => {
                    self.pending.remove(&request);
                    actions.push(self.refuse(&request, KeyRefusal::Undecided, RunVerdict::MayHaveRun));
                }
                _ => {
                    self.pending.remove(&request);
                }
            }
        }
        actions
    }

    fn answer_from_entry(&mut self, request: &KeyRequest, now: Instant) -> Vec<KeyAction> {
        let Some(entry) = self.entries.get(&request.id) else {
            return Vec::new();
        };
        if let EntryState::Settled { verdict, answer } = &entry.state {
            return vec![KeyAction::Answer {
                request: request.request.clone(),
                verdict: *verdict,
                answer: answer.clone(),
            }];
        }
        if self.is_log_unavailable {
            return vec![self.refuse(&request.request, KeyRefusal::LogUnavailable, RunVerdict::MayHaveRun)];
        }
        if self.pending.len() >= self.settings.max_pending {
            return vec![self.refuse(&request.request, KeyRefusal::TooManyKeys, RunVerdict::MayHaveRun)];
        }
        let until = self.wait_limit(request.deadline, now);
        self.pending.insert(request, PendingPhase::Waiting, until);
        vec![KeyAction::Wait {
            request: request.request.clone(),
        }]
    }

    fn claim_key(&mut self, request: &KeyRequest, now: Instant) -> Vec<KeyAction> {
        let refusal = if !self.is_complete(now) {
            Some(KeyRefusal::Incomplete)
        } else if self.is_log_unavailable {
            Some(KeyRefusal::LogUnavailable)
        } else if self.is_full() {
            Some(KeyRefusal::TooManyKeys)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            return vec![self.refuse(&request.request, refusal, RunVerdict::MayHaveRun)];
        }
        self.pending.insert(request, PendingPhase::Claiming, request.deadline);
        vec![KeyAction::AppendClaim(self.claim(
            &request.id,
            request.digest,
            &request.request,
        ))]
    }

    fn is_full(&self) -> bool {
        self.entries.len() >= self.settings.max_entries || self.pending.len() >= self.settings.max_pending
    }

    /// Returns the verdict that may be reported when the attempts of `request` ended with `verdict`.
    ///
    /// "Not run" may be reported only while the request holds the claim in force and no outcome is recorded.
    fn reportable_verdict(&mut self, id: &KeyId, request: &RequestId, verdict: RunVerdict) -> RunVerdict {
        let is_owner = self
            .entries
            .get(id)
            .is_some_and(|entry| entry.owner == *request && matches!(entry.state, EntryState::Open));
        if verdict == RunVerdict::NotRun && !is_owner {
            return RunVerdict::MayHaveRun;
        }
        verdict
    }

    fn take_dispatched(&mut self, request: &RequestId) -> Option<KeyId> {
        if self.pending.phase(request) != Some(PendingPhase::Dispatched) {
            return None;
        }
        self.pending.remove(request).map(|pending| pending.id)
    }

    fn refuse_violation(&mut self, request: &KeyRequest) -> Vec<KeyAction> {
        self.counters.violations += 1;
        vec![self.refuse(&request.request, KeyRefusal::Undecided, RunVerdict::MayHaveRun)]
    }

    pub(super) fn refuse_all(&mut self, requests: Vec<RequestId>, refusal: KeyRefusal) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        for request in requests {
            self.pending.remove(&request);
            actions.push(self.refuse(&request, refusal, RunVerdict::MayHaveRun));
        }
        actions
    }

    pub(super) fn refuse(&self, request: &RequestId, refusal: KeyRefusal, verdict: RunVerdict) -> KeyAction {
        KeyAction::Refuse {
            request: request.clone(),
            refusal,
            verdict,
            retry_after: self.settings.retry_after,
        }
    }

    pub(super) fn claim(&self, id: &KeyId, digest: u64, request: &RequestId) -> KeyClaim {
        KeyClaim {
            tenant: id.tenant.clone(),
            key: id.key.clone(),
            digest,
            node: self.node.clone(),
            request: request.clone(),
        }
    }

    pub(super) fn wait_limit(&self, deadline: Instant, now: Instant) -> Instant {
        deadline.min(now + self.settings.outcome_wait)
    }

    /// Returns the time from which a record that lost claims at `now` covers the whole window again.
    pub(super) fn window_end(&self, now: Instant) -> Instant {
        let window: Duration = self.settings.window;
        now + window
    }
}

/// Returns the action that releases a key: its owner did not and will not dispatch.
pub(super) fn append_release(id: &KeyId, request: &RequestId) -> KeyAction {
    KeyAction::AppendOutcome(KeyOutcome {
        tenant: id.tenant.clone(),
        key: id.key.clone(),
        request: request.clone(),
        verdict: RunVerdict::NotRun,
        is_released: true,
        answer: None,
    })
}
