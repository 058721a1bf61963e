//! Origins of streams in the platform's log, which keeps them when all nodes end at once.
//!
//! See `docs/design/stream-versions.md`.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    ports::{LogTopic, TopicError, TopicPosition},
    relay::{StreamOrigin, decode_batch, encode_batches, record_interval},
};
use rand::Rng;
use slog::o;
use tokio::{
    sync::{Mutex, MutexGuard, mpsc::UnboundedReceiver},
    time,
};

use super::version_log::VersionRecord;
use crate::context::RelayContext;

/// Largest record, below what the log accepts.
const MAX_RECORD_BYTES: usize = 128 * 1024;
/// Largest number of origins that wait while the log cannot be written; the oldest are dropped first.
const MAX_WAITING: usize = 16_384;
/// Longest pause after a failed write; the pause doubles with each further failure.
const FAILURE_PAUSE_MAX: Duration = Duration::from_millis(800);
/// Mean time before a write of a node that knows no other one. When all nodes start at once, none knows yet which ones
/// write, and the log must not get a write of each.
const UNLISTED_PAUSE: Duration = Duration::from_secs(2);
/// Age up to which the result of a read serves further callers.
const READ_VALIDITY: Duration = Duration::from_millis(100);
/// Longest time that a caller who takes a stream up waits for the log.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest number of pages in one read of the log.
const MAX_PAGES: usize = 64;

/// Writes the origins of the streams of a failure domain to the log, at the node that records them.
#[derive(Debug)]
pub struct RecordTask {
    context: Arc<RelayContext>,
    pending: UnboundedReceiver<StreamOrigin>,
    /// Origins that are not known to be written.
    waiting: Vec<StreamOrigin>,
    failures: u32,
}

impl RecordTask {
    /// Creates the task; returns `None` if another one was created.
    pub fn new(context: Arc<RelayContext>) -> Option<Self> {
        let pending = context.streams.take_unrecorded()?;
        Some(Self {
            context,
            pending,
            waiting: Vec::new(),
            failures: 0,
        })
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            if self.waiting.is_empty() {
                let Some(origin) = self.pending.recv().await else {
                    return;
                };
                self.waiting.push(origin);
            }
            if self.context.directory.members().is_empty() {
                let pause = UNLISTED_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
                time::sleep(pause).await;
            }
            while let Ok(origin) = self.pending.try_recv() {
                self.waiting.push(origin);
            }
            let excess = self.waiting.len().saturating_sub(MAX_WAITING);
            self.waiting.drain(..excess);
            self.write().await;
            time::sleep(self.pause()).await;
        }
    }

    async fn write(&mut self) {
        let batches = encode_batches(&self.waiting, MAX_RECORD_BYTES);
        let outcome = self.context.ports.topics.append(LogTopic::StreamOrigins, batches).await;
        let result = if outcome.is_ok() { "written" } else { "failed" };
        counter!("mustardgate_stream_batches_total", "outcome" => result).increment(1);
        let Err(error) = outcome else {
            let count = self.waiting.len();
            self.waiting.clear();
            if std::mem::take(&mut self.failures) > 0 {
                events::RELAY_ORIGINS_RECORDED.write(self.context.log.logger(), o!("origins" => count));
            }
            return;
        };
        if self.failures == 0 {
            let values = o!("reason" => error.to_string(), "origins" => self.waiting.len());
            events::RELAY_ORIGINS_UNRECORDED.write(self.context.log.logger(), values);
        }
        self.failures = (self.failures + 1).min(4);
    }

    fn pause(&self) -> Duration {
        let interval = self.context.directory.own().map_or(FAILURE_PAUSE_MAX, |own| {
            record_interval(own, &self.context.directory.members())
        });
        if self.failures == 0 {
            return interval;
        }
        (interval * 2_u32.pow(self.failures)).min(FAILURE_PAUSE_MAX)
    }
}

/// Reads origins from the log when a caller takes up a stream that no node knows.
#[derive(Debug, Default)]
pub struct StreamLogReader {
    state: Mutex<ReadState>,
    /// Whether changes of the list of runners may have been missed since the history was joined.
    has_gap: AtomicBool,
}

#[derive(Debug, Default)]
struct ReadState {
    next: TopicPosition,
    /// When the last read began.
    began_at: Option<Instant>,
    /// Whether it read everything up to the end of the topic.
    is_complete: bool,
    /// The newest record of versions.
    versions: Option<VersionRecord>,
    /// Whether the history of versions holds what the log says of the time before this node's start.
    is_joined: bool,
}

impl StreamLogReader {
    /// Records that changes of the list of runners may have been missed, so that the history has to be joined again.
    pub fn record_gap(&self) {
        self.has_gap.store(true, Ordering::Relaxed);
    }

    /// Takes over what the log holds by now; returns whether everything was read.
    pub async fn refresh(&self, context: &RelayContext) -> bool {
        let reading = async {
            let mut state = self.lock().await;
            let now = clock::now();
            let is_recent = |at: Instant| now.saturating_duration_since(at) < READ_VALIDITY;
            if !state.began_at.is_some_and(is_recent) {
                state.is_complete = false;
                state.read(context).await;
                // A caller that leaves takes its read along, which then says nothing to the others.
                state.began_at = Some(now);
            }
            state.is_complete
        };
        let is_complete = time::timeout(READ_TIMEOUT, reading).await.unwrap_or(false);
        counter!("mustardgate_stream_log_reads_total", "is_complete" => is_complete.to_string()).increment(1);
        is_complete
    }

    /// Takes over what the log says of versions before this node's start; returns whether nothing more can be learnt.
    pub async fn join_history(&self, context: &RelayContext) -> bool {
        let joining = async { self.lock().await.join_history(context).await };
        time::timeout(READ_TIMEOUT, joining).await.unwrap_or(false)
    }

    /// Returns whether the history of versions holds what the log says.
    pub async fn is_joined(&self) -> bool {
        self.lock().await.is_joined
    }

    async fn lock(&self) -> MutexGuard<'_, ReadState> {
        let mut state = self.state.lock().await;
        if self.has_gap.swap(false, Ordering::Relaxed) {
            state.is_joined = false;
        }
        state
    }
}

impl ReadState {
    async fn join_history(&mut self, context: &RelayContext) -> bool {
        if self.is_joined || !self.is_complete {
            return self.is_joined;
        }
        let outcome = match &self.versions {
            Some(record) => record.join(context).await,
            None => Ok(()),
        };
        // What was deleted or lost by a restore does not come back.
        self.is_joined = !matches!(outcome, Err(TopicError::Unavailable { .. }));
        self.is_joined
    }

    async fn read(&mut self, context: &RelayContext) {
        for _ in 0..MAX_PAGES {
            let reading = context
                .ports
                .topics
                .read(LogTopic::StreamOrigins, self.next, Duration::ZERO);
            match reading.await {
                Ok(page) if page.next == self.next.offset => {
                    self.is_complete = true;
                    return;
                }
                Ok(page) => {
                    let now = context.leader.lease_time();
                    for value in page.records.iter().filter_map(|record| record.value.as_deref()) {
                        match VersionRecord::of(value) {
                            Some(record) => self.versions = Some(record),
                            None => context.streams.learn(now, &decode_batch(value).unwrap_or_default()),
                        }
                    }
                    self.next = page.end();
                }
                Err(TopicError::Trimmed { earliest }) => self.next.offset = earliest,
                Err(TopicError::Restored) => {
                    self.next = TopicPosition::default();
                    self.versions = None;
                }
                Err(TopicError::Unavailable { .. }) => return,
            }
        }
    }
}
