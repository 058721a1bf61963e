//! Connects the key table with the callers that wait for its decisions, the claim batcher and the log.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    idempotency::{BatcherSettings, ClaimBatcher, KeyAction, KeyId, KeyRefusal, KeyRequest, ShardedKeyTable},
    ids::{DomainId, NodeId, Offset, RequestId},
    log::{BatchRecord, StoredAnswer},
    ports::{AppendError, LogEntry},
    verdict::RunVerdict,
};
use tokio::sync::{Notify, oneshot};

use crate::{
    records::{RecordObserver, RecordTail},
    settings::{KEY_SHARDS, KeyWindowSettings},
};

/// Decision on a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Dispatch the request, then call [`KeyCoordinator::finish`] or [`KeyCoordinator::release`].
    Dispatch,
    /// Answer the caller from the record of the key.
    Answer {
        /// Verdict on the key.
        verdict: RunVerdict,
        /// Answer of the run, unless none was produced or it could not be stored because it was too large or not text.
        answer: Option<StoredAnswer>,
    },
    /// Refuse the request.
    Refuse {
        /// Reason for the refusal.
        refusal: KeyRefusal,
        /// Verdict on the key.
        verdict: RunVerdict,
        /// Time after which the caller may retry with the same key.
        retry_after: Duration,
    },
}

/// Decides on the keyed requests of one node.
#[derive(Debug)]
pub struct KeyCoordinator {
    table: ShardedKeyTable,
    batcher: Mutex<ClaimBatcher>,
    waiters: Mutex<BTreeMap<RequestId, KeyWaiter>>,
    entry_queued: Notify,
    tail: Arc<RecordTail>,
}

#[derive(Debug)]
struct KeyWaiter {
    id: KeyId,
    sender: oneshot::Sender<KeyDecision>,
}

impl KeyCoordinator {
    /// Creates a coordinator that refuses every key until the replay of the log has begun.
    pub fn new(node: &NodeId, domain: DomainId, settings: &KeyWindowSettings, tail: Arc<RecordTail>) -> Self {
        Self {
            table: ShardedKeyTable::new(node, settings.shard_settings(), KEY_SHARDS),
            batcher: Mutex::new(ClaimBatcher::new(domain, BatcherSettings::default())),
            waiters: Mutex::default(),
            entry_queued: Notify::new(),
            tail,
        }
    }

    /// Waits for the decision on a keyed request and returns it.
    pub async fn decide(&self, request: KeyRequest) -> KeyDecision {
        let (sender, receiver) = oneshot::channel();
        let waiter = KeyWaiter {
            id: request.id.clone(),
            sender,
        };
        self.waiters().insert(request.request.clone(), waiter);
        self.perform(self.table.request(&request, clock::now()));
        receiver.await.unwrap_or(KeyDecision::Refuse {
            refusal: KeyRefusal::Undecided,
            verdict: RunVerdict::MayHaveRun,
            retry_after: Duration::from_secs(1),
        })
    }

    /// Records the end of a dispatched request and returns the verdict on its key to report to the caller.
    pub fn finish(
        &self,
        id: &KeyId,
        request: &RequestId,
        verdict: RunVerdict,
        answer: Option<StoredAnswer>,
    ) -> RunVerdict {
        let actions = self.table.finish(id, request, verdict, answer);
        let key_verdict = actions.iter().find_map(|action| match action {
            KeyAction::Answer {
                request: answered,
                verdict,
                ..
            } if answered == request => Some(*verdict),
            _ => None,
        });
        self.perform(actions);
        key_verdict.unwrap_or(RunVerdict::MayHaveRun)
    }

    /// Releases the key of a dispatched request of which nothing was sent, so that another delivery may claim it.
    pub fn release(&self, id: &KeyId, request: &RequestId) {
        self.perform(self.table.release(id, request));
    }

    /// Returns the number of steps that were refused because they would have violated an invariant.
    pub fn violations(&self) -> u64 {
        self.table.counters().violations
    }

    pub(super) fn check_timeouts(&self) {
        self.perform(self.table.tick(clock::now()));
    }

    pub(super) fn next_batch(&self) -> Option<BatchRecord> {
        self.batcher().next_batch(clock::now())
    }

    pub(super) fn next_append(&self) -> Option<Instant> {
        self.batcher().next_append(clock::now())
    }

    /// Waits until a claim or an outcome is queued for an append.
    pub(super) async fn entry_queued(&self) {
        self.entry_queued.notified().await;
    }

    /// Handles the result of the append of a batch.
    pub(super) fn on_append(&self, batch: BatchRecord, result: Result<Offset, AppendError>) {
        self.tail.wake();
        let Err(error) = result else { return };
        if error == AppendError::NotAppended {
            for claim in &batch.claims {
                self.perform(self.table.claim_not_appended(claim));
            }
        }
        // Outcomes are queued again after every error: one that is in the log twice is harmless, while a missing one
        // leaves its key undecided.
        let mut batcher = self.batcher();
        for outcome in batch.outcomes {
            batcher.push_outcome(outcome);
        }
    }

    fn perform(&self, actions: Vec<KeyAction>) {
        for action in actions {
            match action {
                KeyAction::AppendClaim(claim) => {
                    let pushed = self.batcher().push_claim(claim.clone());
                    if pushed.is_err() {
                        self.perform(self.table.claim_not_appended(&claim));
                    }
                    self.entry_queued.notify_one();
                }
                KeyAction::AppendOutcome(outcome) => {
                    self.batcher().push_outcome(outcome);
                    self.entry_queued.notify_one();
                }
                KeyAction::Dispatch { request } => self.dispatch(&request),
                KeyAction::Answer {
                    request,
                    verdict,
                    answer,
                } => {
                    self.send_decision(&request, KeyDecision::Answer { verdict, answer });
                }
                KeyAction::Refuse {
                    request,
                    refusal,
                    verdict,
                    retry_after,
                } => {
                    self.send_decision(
                        &request,
                        KeyDecision::Refuse {
                            refusal,
                            verdict,
                            retry_after,
                        },
                    );
                }
                KeyAction::Wait { .. } => {}
            }
        }
    }

    /// Lets the waiting caller dispatch the request; when that caller no longer waits, the key is released so that
    /// another delivery may claim it.
    fn dispatch(&self, request: &RequestId) {
        let Some(waiter) = self.waiters().remove(request) else {
            return;
        };
        if waiter.sender.send(KeyDecision::Dispatch).is_err() {
            self.perform(self.table.release(&waiter.id, request));
        }
    }

    fn send_decision(&self, request: &RequestId, decision: KeyDecision) {
        if let Some(waiter) = self.waiters().remove(request) {
            // The send fails when the caller no longer waits, which needs no handling.
            drop(waiter.sender.send(decision));
        }
    }

    fn batcher(&self) -> MutexGuard<'_, ClaimBatcher> {
        self.batcher.lock().expect("no holder panics")
    }

    fn waiters(&self) -> MutexGuard<'_, BTreeMap<RequestId, KeyWaiter>> {
        self.waiters.lock().expect("no holder panics")
    }
}

impl RecordObserver for KeyCoordinator {
    fn on_start(&self, from: Offset, now: Instant) {
        self.table.start(from, from, now);
    }

    fn on_entries(&self, entries: &[LogEntry], now: Instant) {
        self.perform(self.table.replay(entries, now));
    }

    fn on_bounds(&self, earliest: Offset, _end: Offset, _now: Instant) {
        self.table.forget_before(earliest);
    }

    fn on_gap(&self, earliest: Offset, now: Instant) {
        self.perform(self.table.record_gap(earliest, now));
    }

    fn on_availability(&self, is_unavailable: bool, _now: Instant) {
        self.perform(self.table.set_log_unavailable(is_unavailable));
    }
}
