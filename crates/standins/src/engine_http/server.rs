//! HTTP interface of an engine.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use mustardgate_core::{
    ids::{MemoryMib, RequestId},
    log::Artifact,
    ports::EngineReport,
};
use mustardgate_protocol::engine::{
    CACHE_EVENTS_PATH, CANCEL_PATH, EngineRole, FENCING_PATH, GENERATE_PATH, KV_EXPORT_PATH, KV_IMPORT_PATH, KvExport,
    ORDERS_PATH, REPORT_PATH, ROLE_PATH,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;

use super::{
    batch::{AnswerContent, TokenBatch},
    memory::EngineMemory,
    options::{EngineFaults, EngineOptions, EngineStats, FAULTS_PATH, STATS_PATH},
    prefix::PrefixCache,
};
use crate::http::{HttpHandler, HttpReply, json_reply, status_reply};

/// Longest time between two steps while there is nothing to generate.
const IDLE_STEP: Duration = Duration::from_millis(100);

/// An engine, shared by its HTTP handlers and the task that generates tokens.
#[derive(Debug)]
pub struct EngineServer {
    pub(super) options: EngineOptions,
    pub(super) state: Mutex<ServerState>,
    pub(super) arrival: Notify,
}

#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) memory: EngineMemory,
    pub(super) batch: TokenBatch,
    pub(super) prefix: PrefixCache,
    pub(super) faults: EngineFaults,
    pub(super) rng: ChaCha8Rng,
    pub(super) role: EngineRole,
    pub(super) exports: BTreeMap<RequestId, KvExport>,
    pub(super) last_answer: Option<AnswerContent>,
    pub(super) refused: u64,
    samples: VecDeque<LoadSample>,
}

#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: Instant,
    running: u32,
    waiting: u32,
}

impl EngineServer {
    /// Creates an engine with empty memory.
    pub fn new(options: EngineOptions) -> Self {
        let state = ServerState {
            memory: EngineMemory::new(options.memory.clone()),
            batch: TokenBatch::new(options.batch),
            prefix: PrefixCache::new(options.prefix),
            faults: EngineFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            role: EngineRole::default(),
            exports: BTreeMap::new(),
            last_answer: None,
            refused: 0,
            samples: VecDeque::new(),
        };
        Self {
            options,
            state: Mutex::new(state),
            arrival: Notify::new(),
        }
    }

    /// Places weights in memory without an order; returns whether they fit.
    pub fn preload(&self, artifact: Artifact, memory_mib: MemoryMib) -> bool {
        self.lock().memory.preload(Instant::now(), artifact, memory_mib)
    }

    /// Generates tokens until the task is dropped.
    pub async fn run_batch(self: Arc<Self>) {
        loop {
            if self.step(Instant::now()) {
                drop(tokio::time::timeout(IDLE_STEP, self.arrival.notified()).await);
            } else {
                tokio::time::sleep(self.options.batch.step).await;
            }
        }
    }

    /// Returns what the engine did.
    pub fn stats(&self) -> EngineStats {
        let state = self.lock();
        let counts = state.memory.counts();
        EngineStats {
            runs: state.batch.runs(),
            refused: state.refused,
            tokens: state.batch.tokens(),
            loads: counts.loads,
            unloads: counts.unloads,
            has_overcommitted: state.memory.has_overcommitted(),
            fenced_orders: counts.fenced,
            stale_orders_obeyed: counts.stale_obeyed,
        }
    }

    /// Returns the report, with load figures that are at least `report_lag` old.
    pub(super) fn report(&self, now: Instant) -> EngineReport {
        let mut state = self.lock();
        let sample = state
            .samples
            .iter()
            .rev()
            .find(|sample| now.saturating_duration_since(sample.at) >= self.options.report_lag)
            .copied();
        EngineReport {
            running: sample.map_or(0, |sample| sample.running),
            waiting: sample.map_or(0, |sample| sample.waiting),
            ..state.memory.report(now)
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Generates what is due; returns whether nothing is left to generate.
    fn step(&self, now: Instant) -> bool {
        let mut state = self.lock();
        let ServerState {
            memory, batch, faults, ..
        } = &mut *state;
        memory.advance(now);
        batch.fail_without_weights(|artifact| memory.is_ready(artifact));
        if !faults.is_stalled {
            batch.step(now);
        }
        let sample = LoadSample {
            at: now,
            running: batch.running(),
            waiting: batch.waiting(),
        };
        let is_idle = batch.is_empty();
        state.note_sample(sample, self.options.report_lag);
        is_idle
    }
}

impl ServerState {
    /// Adds a sample and drops those that no report can show any more.
    fn note_sample(&mut self, sample: LoadSample, lag: Duration) {
        self.samples.push_back(sample);
        while self
            .samples
            .get(1)
            .is_some_and(|second| sample.at.saturating_duration_since(second.at) >= lag)
        {
            self.samples.pop_front();
        }
    }
}

#[async_trait]
impl HttpHandler for Arc<EngineServer> {
    async fn handle(&self, request: Request<Bytes>) -> HttpReply {
        match (request.method(), request.uri().path()) {
            (&Method::POST, GENERATE_PATH) => self.generate(&request).await,
            (&Method::POST, CANCEL_PATH) => self.cancel(&request),
            (&Method::POST, FENCING_PATH) => self.raise_fencing(&request),
            (&Method::POST, ORDERS_PATH) => self.accept_order(&request),
            (&Method::GET, REPORT_PATH) => json_reply(StatusCode::OK, &self.report(Instant::now())),
            (&Method::GET, CACHE_EVENTS_PATH) => self.cache_events(&request),
            (&Method::POST, ROLE_PATH) => self.change_role(&request),
            (&Method::POST, KV_EXPORT_PATH) => self.export_cache(&request),
            (&Method::POST, KV_IMPORT_PATH) => self.import_cache(&request),
            (&Method::POST, FAULTS_PATH) => self.set_faults(&request),
            (&Method::GET, STATS_PATH) => json_reply(StatusCode::OK, &self.stats()),
            _ => status_reply(StatusCode::NOT_FOUND),
        }
    }
}
