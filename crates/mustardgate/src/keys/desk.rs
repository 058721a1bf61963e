//! Brings the key table together with the callers that wait for its decisions.

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

/// What becomes of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// It is the one that may be dispatched; [`KeyDesk::finish`] must follow.
    Dispatch,
    /// It is answered from the record.
    Answer {
        /// Verdict on the key.
        verdict: RunVerdict,
        /// The answer, unless it was too large to keep.
        answer: Option<StoredAnswer>,
    },
    /// It is refused.
    Refuse {
        /// Why.
        refusal: KeyRefusal,
        /// Verdict on the key.
        verdict: RunVerdict,
        /// When to come back with the same key.
        retry_after: Duration,
    },
}

/// Decides keyed requests of one node.
#[derive(Debug)]
pub struct KeyDesk {
    table: ShardedKeyTable,
    batcher: Mutex<ClaimBatcher>,
    waiters: Mutex<BTreeMap<RequestId, KeyWaiter>>,
    wake: Notify,
    tail: Arc<RecordTail>,
}

#[derive(Debug)]
struct KeyWaiter {
    id: KeyId,
    sender: oneshot::Sender<KeyDecision>,
}

impl KeyDesk {
    /// Creates a desk that refuses every key until the replay has begun.
    pub fn new(node: &NodeId, domain: DomainId, settings: &KeyWindowSettings, tail: Arc<RecordTail>) -> Self {
        Self {
            table: ShardedKeyTable::new(node, settings.shard_settings(), KEY_SHARDS),
            batcher: Mutex::new(ClaimBatcher::new(domain, BatcherSettings::default())),
            waiters: Mutex::default(),
            wake: Notify::new(),
            tail,
        }
    }

    /// Returns what becomes of a keyed request.
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

    /// Records the end of a dispatched request and returns what its caller is told of the key.
    pub fn finish(
        &self,
        id: &KeyId,
        request: &RequestId,
        verdict: RunVerdict,
        answer: Option<StoredAnswer>,
    ) -> RunVerdict {
        let actions = self.table.finish(id, request, verdict, answer);
        let told = actions.iter().find_map(|action| match action {
            KeyAction::Answer {
                request: answered,
                verdict,
                ..
            } if answered == request => Some(*verdict),
            _ => None,
        });
        self.perform(actions);
        told.unwrap_or(RunVerdict::MayHaveRun)
    }

    /// Gives the key of a dispatched request back, of which no byte was sent, so that another delivery may take it.
    pub fn give_up(&self, id: &KeyId, request: &RequestId) {
        self.perform(self.table.release(id, request));
    }

    /// Returns the number of steps refused because they would have broken an invariant.
    pub fn violations(&self) -> u64 {
        self.table.counters().violations
    }

    pub(super) fn tick(&self) {
        self.perform(self.table.tick(clock::now()));
    }

    pub(super) fn next_batch(&self) -> Option<BatchRecord> {
        self.batcher().next_batch(clock::now())
    }

    pub(super) fn next_append(&self) -> Option<Instant> {
        self.batcher().next_append(clock::now())
    }

    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Takes the answer to the append of a batch.
    pub(super) fn on_append(&self, batch: BatchRecord, answer: Result<Offset, AppendError>) {
        self.tail.wake();
        let Err(error) = answer else { return };
        if error == AppendError::NotAppended {
            for claim in &batch.claims {
                self.perform(self.table.claim_not_appended(claim));
            }
        }
        // An outcome that stands twice in the log is harmless, one that is missing leaves its key undecided.
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
                    self.wake.notify_one();
                }
                KeyAction::AppendOutcome(outcome) => {
                    self.batcher().push_outcome(outcome);
                    self.wake.notify_one();
                }
                KeyAction::Dispatch { request } => self.dispatch(&request),
                KeyAction::Answer {
                    request,
                    verdict,
                    answer,
                } => {
                    self.tell(&request, KeyDecision::Answer { verdict, answer });
                }
                KeyAction::Refuse {
                    request,
                    refusal,
                    verdict,
                    retry_after,
                } => {
                    self.tell(
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

    /// Lets the request be dispatched; when nobody waits for it any more, the key is given up so that it stays usable.
    fn dispatch(&self, request: &RequestId) {
        let Some(waiter) = self.waiters().remove(request) else {
            return;
        };
        if waiter.sender.send(KeyDecision::Dispatch).is_err() {
            self.perform(self.table.release(&waiter.id, request));
        }
    }

    fn tell(&self, request: &RequestId, decision: KeyDecision) {
        if let Some(waiter) = self.waiters().remove(request) {
            // A caller that hung up needs no answer.
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

impl RecordObserver for KeyDesk {
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
