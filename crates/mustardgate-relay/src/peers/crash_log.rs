//! Keeps what the nodes know of crashes in the platform's log, for the time when all of them end at once.
//!
//! See `docs/design/platform.md`, "Crashing inputs".

use std::{
    fmt::Display,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    ports::{ConditionalAppendError, LogTopic, TopicPosition},
    relay::{CrashRecord, RecordNeed, RecordedCrashes},
};
use rand::Rng;
use slog::o;
use tokio::time;

use super::messages::{decode, encode};
use crate::context::RelayContext;

/// Longest time for which a node that starts waits for the record before it is ready.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a failed read or write, and after further ones; a log that is back must hold the record soon, before all
/// nodes may end.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
const LONG_FAILURE_PAUSE: Duration = Duration::from_secs(2);
/// Time after a crash in which further ones are put into the same record.
const CRASH_BATCH_PAUSE: Duration = Duration::from_millis(30);
/// Time between two comparisons while the record or this node knows of a crash.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between the last record and one that only removes what counts no longer.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(2);
/// Longest pause before a node that reaches no leader writes, so that one record serves several such nodes.
const UNLED_PAUSE_MAX: Duration = Duration::from_millis(400);
/// Largest number of attempts at one record, each after a record of another node.
const MAX_ATTEMPTS: usize = 4;

/// Reads the record at the start, and replaces it when this node leads or reaches no leader.
///
/// A record is appended only behind the one that the node has taken over, so that none is lost.
#[derive(Debug)]
pub struct CrashRecordTask {
    context: Arc<RelayContext>,
    /// End of the topic, once it was read.
    position: Option<TopicPosition>,
    recorded: RecordedCrashes,
    written_at: Option<Instant>,
    /// Whether this node led at the last comparison.
    is_leading: bool,
    /// Failures since the last record that was read or written.
    failures: u32,
}

impl CrashRecordTask {
    /// Creates the task.
    pub fn new(context: Arc<RelayContext>) -> Self {
        Self {
            context,
            position: None,
            recorded: RecordedCrashes::default(),
            written_at: None,
            is_leading: false,
            failures: 0,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        // A read that takes longer goes on below, while the node serves what it can.
        let is_read = time::timeout(FIRST_READ_TIMEOUT, self.read()).await.unwrap_or(false);
        self.context.crashes.set_loaded();
        if !is_read {
            self.read_until_done().await;
        }
        loop {
            self.next_change().await;
            let was_leading = std::mem::replace(&mut self.is_leading, self.context.leader.token().is_some());
            let is_new_leader = self.is_leading && !was_leading;
            if is_new_leader || self.is_restored() {
                self.read_until_done().await;
            }
            if self.is_writer().await && !self.write().await {
                time::sleep(self.failure_pause()).await;
            }
        }
    }

    async fn read_until_done(&mut self) {
        while !self.read().await {
            time::sleep(self.failure_pause()).await;
        }
    }

    fn failure_pause(&self) -> Duration {
        let pause = if self.failures > 1 {
            LONG_FAILURE_PAUSE
        } else {
            FAILURE_PAUSE
        };
        pause.mul_f64(rand::rng().random_range(0.8..1.2))
    }

    /// Waits until the record and what this node knows may differ.
    async fn next_change(&self) {
        let crashes = &self.context.crashes;
        let news = async {
            crashes.next_news().await;
            time::sleep(CRASH_BATCH_PAUSE).await;
        };
        if self.recorded.is_empty() && crashes.is_empty() {
            return news.await;
        }
        tokio::select! {
            () = news => {}
            () = time::sleep(COMPARISON_INTERVAL) => {}
        }
    }

    /// Returns whether the log was restored from an older copy since the topic was read.
    fn is_restored(&self) -> bool {
        let known = self.position.and_then(|position| position.era);
        let list = self.context.records.position(LogTopic::Runners);
        let newest = list.and_then(|position| position.era);
        known.is_some_and(|known| newest.is_some_and(|newest| newest > known))
    }

    /// Returns whether this node writes: the leader hears of all crashes, and a node without one has only itself.
    async fn is_writer(&self) -> bool {
        let leader = &self.context.leader;
        if leader.token().is_some() {
            return true;
        }
        if leader.has_contact() {
            return false;
        }
        let pause = UNLED_PAUSE_MAX.mul_f64(rand::rng().random_range(0.0..1.0));
        time::sleep(pause).await;
        !leader.has_contact()
    }

    /// Reads the newest record and takes it over.
    async fn read(&mut self) -> bool {
        let page = match self.context.ports.topics.newest(LogTopic::Crashes).await {
            Ok(page) => page,
            Err(error) => {
                self.report_failure(&error);
                return false;
            }
        };
        self.position = Some(page.end());
        self.failures = 0;
        let value = page.records.last().and_then(|record| record.value.as_deref());
        let record = value.and_then(decode::<CrashRecord>).unwrap_or_default();
        let now_ms = unix_ms();
        let age_ms = now_ms.saturating_sub(record.written_at_ms);
        let digest = record.digest_at(now_ms);
        self.recorded = RecordedCrashes::of(clock::now(), &digest);
        self.context.crashes.merge(&digest);
        if !self.recorded.is_empty() {
            let values = o!(
                "age_ms" => age_ms,
                "quarantined" => digest.quarantined.len(),
                "crashes" => digest.crashes.len(),
            );
            events::RELAY_CRASHES_READ.write(self.context.log.logger(), values);
        }
        true
    }

    /// Replaces the record if it lacks something; returns whether the log holds what this node knows.
    async fn write(&mut self) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            let known = self.context.crashes.lasting_digest();
            let now = clock::now();
            let crash_memory = self.context.crashes.crash_memory();
            let is_due = match self.recorded.need(now, &known, crash_memory) {
                RecordNeed::None => false,
                RecordNeed::Addition => true,
                RecordNeed::Removal => self
                    .written_at
                    .is_none_or(|at| now.saturating_duration_since(at) >= REMOVAL_INTERVAL),
            };
            let Some(at) = self.position.filter(|_| is_due) else {
                return true;
            };
            let record = CrashRecord {
                written_at_ms: unix_ms(),
                digest: known,
            };
            let appending = self
                .context
                .ports
                .topics
                .append_at(LogTopic::Crashes, at, encode(&record));
            let outcome = appending.await;
            let label = if outcome.is_ok() { "written" } else { "failed" };
            counter!("mustardgate_crash_records_total", "outcome" => label).increment(1);
            match outcome {
                Ok(offset) => {
                    self.position = Some(TopicPosition {
                        offset: offset + 1,
                        ..at
                    });
                    self.recorded = RecordedCrashes::of(now, &record.digest);
                    self.written_at = Some(now);
                    self.failures = 0;
                    let values = o!(
                        "offset" => offset,
                        "quarantined" => record.digest.quarantined.len(),
                        "crashes" => record.digest.crashes.len(),
                    );
                    events::RELAY_CRASHES_RECORDED.write(self.context.log.logger(), values);
                    return true;
                }
                Err(error @ ConditionalAppendError::NotAppended) => {
                    self.report_failure(&error);
                    return false;
                }
                // Another node's record stands there, or perhaps this one.
                Err(_) => {
                    if !self.read().await {
                        return false;
                    }
                }
            }
        }
        false
    }

    fn report_failure(&mut self, reason: &dyn Display) {
        self.failures += 1;
        if self.failures > 1 {
            return;
        }
        let values = o!("reason" => reason.to_string());
        events::RELAY_CRASHES_UNRECORDED.write(self.context.log.logger(), values);
    }
}

/// Returns the time of day in Unix milliseconds.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
