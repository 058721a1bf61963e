//! Replay of the log into a key table: claims and outcomes take effect in log order, which is the same on every node.

use std::time::Instant;

use super::{
    action::{KeyAction, KeyId, KeyRefusal},
    entry::{EntryState, KeyEntry, answer_bytes},
    pending::PendingPhase,
    table::{KeyTable, RecordCoverage, append_release},
};
use crate::{
    ids::{Offset, RequestId},
    log::{KeyClaim, KeyOutcome, LogRecord, StoredAnswer},
    ports::LogEntry,
    verdict::RunVerdict,
};

impl KeyTable {
    /// Sets the offset at which the replay begins; `earliest` is the oldest one that the log keeps.
    ///
    /// New keys are accepted at once when the replay begins with the oldest record kept, and otherwise only when every
    /// skipped claim is older than the window.
    pub fn start(&mut self, from: Offset, earliest: Offset, now: Instant) {
        self.next_offset = from;
        self.coverage = if from <= earliest {
            RecordCoverage::Complete
        } else {
            RecordCoverage::CompleteFrom(self.window_end(now))
        };
    }

    /// Replays entries in log order; entries already replayed are skipped, and missing ones count as a gap.
    pub fn replay(&mut self, entries: &[LogEntry], now: Instant) -> Vec<KeyAction> {
        let mut actions = Vec::new();
        for entry in entries {
            if entry.offset < self.next_offset {
                continue;
            }
            if entry.offset > self.next_offset {
                actions.extend(self.record_gap(entry.offset, now));
            }
            self.next_offset = entry.offset + 1;
            if let LogRecord::Batch(batch) = &entry.record {
                for claim in &batch.claims {
                    actions.extend(self.replay_claim(entry.offset, claim, now));
                }
                for outcome in &batch.outcomes {
                    actions.extend(self.replay_outcome(outcome, now));
                }
            }
        }
        actions
    }

    /// Handles records that were trimmed before this node read them; `earliest` is the oldest offset kept.
    ///
    /// Requests whose claim may be among the lost records are not dispatched, and new keys are refused until the lost
    /// records are older than the window.
    pub fn record_gap(&mut self, earliest: Offset, now: Instant) -> Vec<KeyAction> {
        if earliest <= self.next_offset {
            return Vec::new();
        }
        self.counters.gaps += 1;
        self.next_offset = earliest;
        self.coverage = RecordCoverage::CompleteFrom(self.window_end(now));
        self.forget_before(earliest);
        let mut undecided = self.pending.in_phase(PendingPhase::Claiming);
        undecided.extend(self.pending.in_phase(PendingPhase::Waiting));
        for request in self.pending.in_phase(PendingPhase::Abandoned) {
            self.pending.remove(&request);
        }
        self.refuse_all(undecided, KeyRefusal::Incomplete)
    }

    /// Removes the keys whose first claim the log no longer keeps, which are older than the window.
    pub fn forget_before(&mut self, earliest: Offset) {
        while let Some((offset, _)) = self.by_offset.first() {
            if *offset >= earliest {
                break;
            }
            let Some((_, id)) = self.by_offset.pop_first() else {
                break;
            };
            if let Some(entry) = self.entries.remove(&id) {
                self.answer_bytes -= entry.answer_bytes();
            }
        }
    }

    fn replay_claim(&mut self, offset: Offset, claim: &KeyClaim, now: Instant) -> Vec<KeyAction> {
        let id = KeyId::from(claim);
        let is_full = self.entries.len() >= self.settings.max_entries;
        let is_in_force = match self.entries.get_mut(&id) {
            Some(entry) => entry.reopen(claim),
            None if is_full => return self.on_table_full(claim, now),
            None => {
                self.entries.insert(id.clone(), KeyEntry::open(claim));
                self.by_offset.insert((offset, id.clone()));
                true
            }
        };
        if !is_in_force {
            self.counters.lost_claims += 1;
        }
        if claim.node != self.node {
            return Vec::new();
        }
        if is_in_force {
            self.claim_won(&id, &claim.request, now)
        } else {
            self.claim_lost(&id, &claim.request, now)
        }
    }

    /// Handles a claim of a new key for which the table has no room.
    ///
    /// The record of keys is incomplete from now on, so new keys are refused until this claim is older than the window.
    fn on_table_full(&mut self, claim: &KeyClaim, now: Instant) -> Vec<KeyAction> {
        self.coverage = RecordCoverage::CompleteFrom(self.window_end(now));
        let is_own = claim.node == self.node && self.pending.phase(&claim.request) == Some(PendingPhase::Claiming);
        if !is_own {
            return Vec::new();
        }
        self.refuse_all(vec![claim.request.clone()], KeyRefusal::TooManyKeys)
    }

    fn claim_won(&mut self, id: &KeyId, request: &RequestId, now: Instant) -> Vec<KeyAction> {
        let Some(pending) = self.pending.get(request) else {
            return Vec::new();
        };
        match pending.phase {
            PendingPhase::Claiming if now < pending.deadline => {
                let deadline = pending.deadline;
                self.pending.set_phase(request, PendingPhase::Dispatched, deadline);
                self.counters.dispatches += 1;
                vec![KeyAction::Dispatch {
                    request: request.clone(),
                }]
            }
            PendingPhase::Claiming => {
                self.pending.remove(request);
                let refusal = self.refuse(request, KeyRefusal::Undecided, RunVerdict::MayHaveRun);
                vec![append_release(id, request), refusal]
            }
            PendingPhase::Abandoned => {
                self.pending.remove(request);
                vec![append_release(id, request)]
            }
            PendingPhase::Waiting | PendingPhase::Dispatched => {
                self.counters.violations += 1;
                Vec::new()
            }
        }
    }

    fn claim_lost(&mut self, id: &KeyId, request: &RequestId, now: Instant) -> Vec<KeyAction> {
        let (Some(pending), Some(entry)) = (self.pending.get(request), self.entries.get(id)) else {
            return Vec::new();
        };
        match pending.phase {
            PendingPhase::Claiming if pending.digest != entry.digest => {
                let verdict = entry.verdict();
                self.pending.remove(request);
                vec![self.refuse(request, KeyRefusal::Conflict, verdict)]
            }
            PendingPhase::Claiming => match &entry.state {
                EntryState::Settled { verdict, answer } => {
                    let action = answer_action(request, *verdict, answer.as_ref());
                    self.pending.remove(request);
                    vec![action]
                }
                EntryState::Open | EntryState::Released => {
                    let until = self.wait_limit(pending.deadline, now);
                    self.pending.set_phase(request, PendingPhase::Waiting, until);
                    vec![KeyAction::Wait {
                        request: request.clone(),
                    }]
                }
            },
            PendingPhase::Abandoned => {
                self.pending.remove(request);
                Vec::new()
            }
            PendingPhase::Waiting | PendingPhase::Dispatched => Vec::new(),
        }
    }

    fn replay_outcome(&mut self, outcome: &KeyOutcome, now: Instant) -> Vec<KeyAction> {
        let id = KeyId::from(outcome);
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.accepts(outcome)) else {
            self.counters.ignored_outcomes += 1;
            return Vec::new();
        };
        self.answer_bytes -= entry.answer_bytes();
        if outcome.is_released && outcome.verdict == RunVerdict::NotRun {
            entry.state = EntryState::Released;
            return self.reclaim(&id, now);
        }
        let new_bytes = outcome.answer.as_ref().map_or(0, answer_bytes);
        let has_room = self.answer_bytes + new_bytes <= self.settings.max_total_answer_bytes;
        let answer = outcome.answer.clone().filter(|_| has_room);
        entry.state = EntryState::Settled {
            verdict: outcome.verdict,
            answer,
        };
        self.answer_bytes += entry.answer_bytes();
        let waiting = self.pending.with_key(&id, PendingPhase::Waiting);
        let mut actions = Vec::new();
        for request in waiting {
            self.pending.remove(&request);
            actions.push(answer_action(&request, outcome.verdict, outcome.answer.as_ref()));
        }
        actions
    }

    /// Claims a released key for the deliveries that wait at this node; the order of the log decides between them.
    fn reclaim(&mut self, id: &KeyId, now: Instant) -> Vec<KeyAction> {
        let waiting = self.pending.with_key(id, PendingPhase::Waiting);
        let mut actions = Vec::new();
        for request in waiting {
            let Some(pending) = self.pending.get(&request) else {
                continue;
            };
            if now >= pending.deadline {
                continue;
            }
            let (digest, deadline) = (pending.digest, pending.deadline);
            self.pending.set_phase(&request, PendingPhase::Claiming, deadline);
            actions.push(KeyAction::AppendClaim(self.claim(id, digest, &request)));
        }
        actions
    }
}

fn answer_action(request: &RequestId, verdict: RunVerdict, answer: Option<&StoredAnswer>) -> KeyAction {
    KeyAction::Answer {
        request: request.clone(),
        verdict,
        answer: answer.cloned(),
    }
}
