//! Decides which keyed requests this node may dispatch, and what it tells about the others.

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

/// What a key table has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyCounters {
    /// Requests handed out for dispatch.
    pub dispatches: u64,
    /// Claims read that came after another claim in force.
    pub lost_claims: u64,
    /// Outcomes read that were not the owner's to record, and were ignored.
    pub stray_outcomes: u64,
    /// Times that records were trimmed before this node read them.
    pub gaps: u64,
    /// Steps refused because they would have broken an invariant; any at all is a bug.
    pub violations: u64,
}

/// How far back the record of keys is known to be whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordCover {
    /// Nothing was read yet.
    Unstarted,
    /// Every claim inside the window was read.
    Whole,
    /// Claims may be missing, all of which are older than the window from this time on.
    WholeFrom(Instant),
}

/// The record of keys at one node, and the keyed requests under way there.
///
/// Requests go in with [`KeyTable::request`], the log with [`KeyTable::replay`], and the ends of attempts with
/// [`KeyTable::finish`]. Each returns what is to be done. Only the replay of the log leads to a dispatch.
#[derive(Debug)]
pub struct KeyTable {
    pub(super) node: NodeId,
    pub(super) settings: KeySettings,
    pub(super) entries: BTreeMap<KeyId, KeyEntry>,
    pub(super) by_offset: BTreeSet<(Offset, KeyId)>,
    pub(super) pending: PendingRequests,
    pub(super) next_offset: Offset,
    pub(super) cover: RecordCover,
    pub(super) is_log_away: bool,
    pub(super) answer_bytes: usize,
    pub(super) counters: KeyCounters,
}

impl KeyTable {
    /// Creates an empty table, which refuses every key until [`KeyTable::start`].
    pub fn new(node: NodeId, settings: KeySettings) -> Self {
        Self {
            node,
            settings,
            entries: BTreeMap::new(),
            by_offset: BTreeSet::new(),
            pending: PendingRequests::default(),
            next_offset: 0,
            cover: RecordCover::Unstarted,
            is_log_away: false,
            answer_bytes: 0,
            counters: KeyCounters::default(),
        }
    }

    /// Returns what was counted so far.
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

    /// Returns whether new keys are served, as far as the record goes.
    pub fn is_whole(&self, now: Instant) -> bool {
        match self.cover {
            RecordCover::Unstarted => false,
            RecordCover::Whole => true,
            RecordCover::WholeFrom(start) => now >= start,
        }
    }

    /// Takes in a keyed request.
    pub fn request(&mut self, request: &KeyRequest, now: Instant) -> Vec<KeyAction> {
        if self.pending.get(&request.request).is_some() {
            return self.refuse_violation(request);
        }
        match self.entries.get(&request.id) {
            Some(entry) if entry.digest != request.digest => {
                let verdict = entry.verdict();
                vec![self.refuse(&request.request, KeyRefusal::Conflict, verdict)]
            }
            Some(entry) if !matches!(entry.state, EntryState::Released) => self.consult_entry(request, now),
            _ => self.claim_key(request, now),
        }
    }

    /// Takes in that a claim certainly was not appended.
    pub fn claim_not_appended(&mut self, claim: &KeyClaim) -> Vec<KeyAction> {
        match self.pending.phase(&claim.request) {
            Some(PendingPhase::Claiming) => {
                self.pending.remove(&claim.request);
                vec![self.refuse(&claim.request, KeyRefusal::LogAway, RunVerdict::MayHaveRun)]
            }
            Some(PendingPhase::Abandoned) => {
                self.pending.remove(&claim.request);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Takes in whether the log is away; while it is, new keys and waiting deliveries are refused at once.
    ///
    /// A claim whose append was answered or whose answer was lost needs no event: the replay decides it.
    pub fn set_log_away(&mut self, is_log_away: bool) -> Vec<KeyAction> {
        self.is_log_away = is_log_away;
        if !is_log_away {
            return Vec::new();
        }
        let waiting = self.pending.in_phase(PendingPhase::Waiting);
        self.refuse_all(waiting, KeyRefusal::LogAway)
    }

    /// Takes in the end of the attempts of a dispatched request.
    ///
    /// With [`RunVerdict::NotRun`] the key is closed: no delivery of it will be dispatched any more, so that the caller
    /// may be told so and may use a new key.
    pub fn finish(&mut self, request: &RequestId, verdict: RunVerdict, answer: Option<StoredAnswer>) -> Vec<KeyAction> {
        let Some(id) = self.take_dispatched(request) else {
            return Vec::new();
        };
        let told = self.told_verdict(&id, request, verdict);
        let kept = answer
            .as_ref()
            .filter(|answer| answer_bytes(answer) <= self.settings.max_answer_bytes)
            .cloned();
        let outcome = KeyOutcome {
            tenant: id.tenant,
            key: id.key,
            request: request.clone(),
            verdict: told,
            is_released: false,
            answer: kept,
        };
        let answered = KeyAction::Answer {
            request: request.clone(),
            verdict: told,
            answer,
        };
        vec![KeyAction::AppendOutcome(outcome), answered]
    }

    /// Gives a dispatched request up of which no byte was sent, so that the same key may be tried again later.
    ///
    /// The caller does not hear "not run", because another delivery of the key may take it from now on.
    pub fn give_up(&mut self, request: &RequestId) -> Vec<KeyAction> {
        let Some(id) = self.take_dispatched(request) else {
            return Vec::new();
        };
        let refusal = self.refuse(request, KeyRefusal::Released, RunVerdict::MayHaveRun);
        vec![release(&id, request), refusal]
    }

    /// Refuses the requests that have waited long enough.
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

    fn consult_entry(&mut self, request: &KeyRequest, now: Instant) -> Vec<KeyAction> {
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
        if self.is_log_away {
            return vec![self.refuse(&request.request, KeyRefusal::LogAway, RunVerdict::MayHaveRun)];
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
        let refusal = if !self.is_whole(now) {
            Some(KeyRefusal::Incomplete)
        } else if self.is_log_away {
            Some(KeyRefusal::LogAway)
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

    /// Returns what may be told about the key when its owner's attempts ended with `verdict`.
    fn told_verdict(&mut self, id: &KeyId, request: &RequestId, verdict: RunVerdict) -> RunVerdict {
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

    /// Returns the time from which a record with a loss at `now` covers the whole window again.
    pub(super) fn window_end(&self, now: Instant) -> Instant {
        let window: Duration = self.settings.window;
        now + window
    }
}

/// Returns the action that records that the owner of a claim did not and will not dispatch.
pub(super) fn release(id: &KeyId, request: &RequestId) -> KeyAction {
    KeyAction::AppendOutcome(KeyOutcome {
        tenant: id.tenant.clone(),
        key: id.key.clone(),
        request: request.clone(),
        verdict: RunVerdict::NotRun,
        is_released: true,
        answer: None,
    })
}
