//! One node: the production key table and batcher, run against the log and the service.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use mustardgate_core::{
    idempotency::{ClaimBatcher, KeyAction, KeyCounters, KeyRequest, ShardedKeyTable},
    ids::{NodeId, RequestId},
    log::{BatchRecord, KeyClaim, LogRecord},
    ports::{AppendError, ReadError},
    verdict::RunVerdict,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{DEADLINE, KeyDelivery, KeyPolicy, ReportedVerdict, batcher_settings, key_settings, service::FakeService};
use crate::platform::MemoryLog;

/// Time after which a node stops waiting for an answer of the service.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of shards of the key table of one node.
const SHARD_COUNT: usize = 2;

/// What a node has access to in one step.
#[derive(Debug)]
pub(super) struct NodeContext<'a> {
    pub log: &'a MemoryLog,
    pub service: &'a mut FakeService,
    pub reported: &'a mut Vec<ReportedVerdict>,
    pub rng: &'a mut ChaCha8Rng,
    pub policy: KeyPolicy,
    pub step: u64,
    pub now: Instant,
}

/// A node with its key table, claim batcher and requests in progress.
#[derive(Debug)]
pub(super) struct KeyedNode {
    name: NodeId,
    table: ShardedKeyTable,
    batcher: ClaimBatcher,
    is_started: bool,
    starts_at_tail: bool,
    deliveries: BTreeMap<RequestId, KeyDelivery>,
    outbox: Vec<RequestId>,
    dispatched: BTreeSet<RequestId>,
    attempts: BTreeMap<RequestId, Instant>,
    /// Step until which the node is frozen.
    pub frozen_until: u64,
}

impl KeyedNode {
    /// Creates a node that has read nothing; with `starts_at_tail` it skips the records that the log holds at its
    /// start.
    pub fn new(name: NodeId, starts_at_tail: bool) -> Self {
        Self {
            table: ShardedKeyTable::new(&name, key_settings(), SHARD_COUNT),
            batcher: ClaimBatcher::new("d1".into(), batcher_settings()),
            name,
            is_started: false,
            starts_at_tail,
            deliveries: BTreeMap::new(),
            outbox: Vec::new(),
            dispatched: BTreeSet::new(),
            attempts: BTreeMap::new(),
            frozen_until: 0,
        }
    }

    /// Returns the name, which differs between incarnations.
    pub fn name(&self) -> &NodeId {
        &self.name
    }

    /// Returns the counters of the key table.
    pub fn counters(&self) -> KeyCounters {
        self.table.counters()
    }

    /// Handles a request delivered by a caller.
    pub fn deliver(&mut self, delivery: &KeyDelivery, context: &mut NodeContext<'_>) {
        self.deliveries.insert(delivery.request.clone(), delivery.clone());
        let request = KeyRequest {
            id: delivery.id.clone(),
            digest: 7,
            request: delivery.request.clone(),
            deadline: context.now + DEADLINE,
        };
        let actions = self.table.request(&request, context.now);
        self.perform(actions, context);
    }

    /// Handles an answer of the service.
    pub fn receive_answer(&mut self, delivery: &KeyDelivery, context: &mut NodeContext<'_>) {
        if self.attempts.remove(&delivery.request).is_none() {
            return;
        }
        let actions = self
            .table
            .finish(&delivery.id, &delivery.request, RunVerdict::Ran, None);
        self.perform(actions, context);
    }

    /// Performs one step: sends dispatched requests, reads the log, appends a batch, and applies timeouts.
    pub fn advance(&mut self, context: &mut NodeContext<'_>) {
        self.send_outbox(context);
        self.read_log(context);
        self.append_batch(context);
        let actions = self.table.tick(context.now);
        self.perform(actions, context);
        self.time_out_attempts(context);
    }

    fn send_outbox(&mut self, context: &mut NodeContext<'_>) {
        for request in std::mem::take(&mut self.outbox) {
            let Some(delivery) = self.deliveries.get(&request).cloned() else {
                continue;
            };
            match context.rng.random_range(0..10) {
                0 => {
                    let actions = self.table.finish(&delivery.id, &request, RunVerdict::NotRun, None);
                    self.perform(actions, context);
                }
                1 => {
                    let actions = self.table.release(&delivery.id, &request);
                    self.perform(actions, context);
                }
                _ => {
                    self.attempts.insert(request, context.now);
                    context.service.send(delivery, context.step, context.rng);
                }
            }
        }
    }

    fn read_log(&mut self, context: &mut NodeContext<'_>) {
        if !self.is_started {
            self.start(context);
        }
        if !self.is_started || context.rng.random_bool(0.3) {
            return;
        }
        let limit = context.rng.random_range(1..12);
        let actions = match context.log.read_now(self.table.next_offset(), limit) {
            Ok(page) => {
                let mut actions = self.table.set_log_unavailable(false);
                actions.extend(self.table.replay(&page.entries, context.now));
                self.table.forget_before(page.earliest);
                actions
            }
            Err(ReadError::Trimmed { earliest }) => self.table.record_gap(earliest, context.now),
            Err(ReadError::Unavailable) => self.table.set_log_unavailable(true),
        };
        self.perform(actions, context);
    }

    fn start(&mut self, context: &NodeContext<'_>) {
        let earliest = match context.log.read_now(0, 1) {
            Ok(page) => page.earliest,
            Err(ReadError::Trimmed { earliest }) => earliest,
            Err(ReadError::Unavailable) => return,
        };
        let from = if self.starts_at_tail {
            context.log.end()
        } else {
            earliest
        };
        self.table.start(from, earliest, context.now);
        self.is_started = true;
    }

    fn append_batch(&mut self, context: &mut NodeContext<'_>) {
        let Some(batch) = self.batcher.next_batch(context.now) else {
            return;
        };
        match context.log.append_now(LogRecord::Batch(batch.clone())) {
            Ok(_) => self.batch_appended(&batch, context.policy),
            Err(AppendError::Unknown) => {
                self.batch_appended(&batch, context.policy);
                self.requeue_outcomes(batch);
            }
            Err(AppendError::NotAppended) => self.batch_not_appended(batch, context),
        }
    }

    fn batch_appended(&mut self, batch: &BatchRecord, policy: KeyPolicy) {
        if policy.awaits_replay {
            return;
        }
        for claim in &batch.claims {
            self.queue_dispatch(claim.request.clone());
        }
    }

    fn batch_not_appended(&mut self, batch: BatchRecord, context: &mut NodeContext<'_>) {
        for claim in &batch.claims {
            self.refuse_claim(claim, context);
        }
        self.requeue_outcomes(batch);
    }

    fn requeue_outcomes(&mut self, batch: BatchRecord) {
        for outcome in batch.outcomes {
            self.batcher.push_outcome(outcome);
        }
    }

    fn refuse_claim(&mut self, claim: &KeyClaim, context: &mut NodeContext<'_>) {
        let actions = self.table.claim_not_appended(claim);
        self.perform(actions, context);
    }

    fn time_out_attempts(&mut self, context: &mut NodeContext<'_>) {
        let attempts = self.attempts.iter();
        let overdue: Vec<RequestId> = attempts
            .filter(|(_, since)| context.now >= **since + ATTEMPT_TIMEOUT)
            .map(|(request, _)| request.clone())
            .collect();
        for request in overdue {
            self.attempts.remove(&request);
            let Some(delivery) = self.deliveries.get(&request).cloned() else {
                continue;
            };
            let actions = self.table.finish(&delivery.id, &request, RunVerdict::MayHaveRun, None);
            self.perform(actions, context);
        }
    }

    fn perform(&mut self, actions: Vec<KeyAction>, context: &mut NodeContext<'_>) {
        for action in actions {
            match action {
                KeyAction::AppendClaim(claim) => {
                    if self.batcher.push_claim(claim.clone()).is_err() {
                        self.refuse_claim(&claim, context);
                    }
                }
                KeyAction::AppendOutcome(outcome) => self.batcher.push_outcome(outcome),
                KeyAction::Dispatch { request } => self.queue_dispatch(request),
                KeyAction::Answer { request, verdict, .. } => self.report_verdict(&request, verdict, context.reported),
                KeyAction::Wait { .. } => {}
                KeyAction::Refuse { request, verdict, .. } => {
                    let reported = if context.policy.reports_key_verdict {
                        verdict
                    } else {
                        RunVerdict::NotRun
                    };
                    self.report_verdict(&request, reported, context.reported);
                }
            }
        }
    }

    fn queue_dispatch(&mut self, request: RequestId) {
        if self.dispatched.insert(request.clone()) {
            self.outbox.push(request);
        }
    }

    fn report_verdict(&self, request: &RequestId, verdict: RunVerdict, reported: &mut Vec<ReportedVerdict>) {
        if let Some(delivery) = self.deliveries.get(request) {
            reported.push(ReportedVerdict {
                id: delivery.id.clone(),
                verdict,
            });
        }
    }
}
