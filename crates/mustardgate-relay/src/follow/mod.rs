//! Follows the platform's topics for the configuration and the runners.
//!
//! Each topic is read by long polls that end after a bounded wait, so that a dead connection is detected well within
//! the time in which a change must take effect. The state read last stays in use while the topic cannot be read.

mod refresh;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use metrics::{counter, gauge};
use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::Offset,
    ports::{LogEra, LogTopic, PageSource, TopicError, TopicPage, TopicPosition, TopicRecord},
    relay::{ListRead, ListedRunner},
};
use rand::Rng;
use slog::o;
use tokio::time;

pub use self::refresh::ListRefresher;
use crate::{context::RelayContext, ports::DecodeError};

/// Fraction of the shortest bound on taking up a change for which a read waits for records. The log may not wake a read
/// that arrives while a change is being written, so the read after it must still be in time.
const WAIT_SHARE: f64 = 0.3;
/// After entries of runners, a follower pauses for the shortest bound on taking up a change divided by this, so that further
/// records are batched into the next answer.
const BATCH_PAUSE_DIVISOR: u32 = 8;
/// Pause after the first failed read and longest pause; the pause doubles with each further failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
const FAILURE_PAUSE_MAX: Duration = Duration::from_millis(800);

/// What a page holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PageExtent {
    /// Changes since the last page.
    Changes,
    /// The newest record of every key.
    Complete,
    /// The newest record of every key, some of them older than those read before, because the log was restored.
    Restored,
}

/// The read that brought a configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigRead {
    /// How the page reached this node.
    pub source: PageSource,
    /// Time since the read began.
    pub elapsed: Duration,
    /// Time since the log held nothing newer than the page.
    pub age: Duration,
    /// Whether versions since the last one may not have been read.
    pub may_skip: bool,
}

/// Follows one topic.
#[derive(Debug)]
pub struct TopicFollower {
    context: Arc<RelayContext>,
    topic: LogTopic,
    next: Option<TopicPosition>,
    /// Era of the last page.
    era: Option<LogEra>,
    failing_since: Option<Instant>,
    failures: u32,
    /// Whether the newest configuration could not be decoded, so that an older one is in force.
    is_refused: bool,
}

impl TopicFollower {
    /// Creates a follower that has read nothing.
    pub fn new(context: Arc<RelayContext>, topic: LogTopic) -> Self {
        Self {
            context,
            topic,
            next: None,
            era: None,
            failing_since: None,
            failures: 0,
            is_refused: false,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let pause = self.step().await;
            time::sleep(pause).await;
        }
    }

    /// Reads once and returns the pause before the next read.
    async fn step(&mut self) -> Duration {
        let (started_at, wait) = (clock::now(), self.wait());
        let began_at = self.context.leader.lease_time();
        let outcome = match self.next {
            None => self.context.ports.topics.newest(self.topic).await,
            Some(from) => self.context.ports.topics.read(self.topic, from, wait).await,
        };
        match outcome {
            Ok(page) => {
                let skipped = self.count_skipped(&page);
                if self.topic == LogTopic::Configuration && !page.records.is_empty() {
                    self.log_changes(&page, skipped, wait, started_at);
                }
                self.record_success();
                let extent = match self.next {
                    Some(_) => PageExtent::Changes,
                    None if self.era.is_none_or(|era| era == page.era) => PageExtent::Complete,
                    None => PageExtent::Restored,
                };
                self.next = Some(page.end());
                self.era = Some(page.era);
                let now = self.context.leader.lease_time();
                let read = ConfigRead {
                    source: page.origin.source,
                    elapsed: now.saturating_duration_since(began_at),
                    age: page.origin.age,
                    may_skip: extent != PageExtent::Changes || skipped > 0,
                };
                self.apply_page(&page, extent, began_at, read);
                if self.topic == LogTopic::Configuration && !page.is_partial {
                    let elapsed = clock::now().saturating_duration_since(started_at);
                    let read_at = oldest_read_time(&page, (began_at, now), elapsed, wait);
                    self.context.routes.record_read(read_at, !self.is_refused);
                }
                if page.records.is_empty() || page.is_partial || self.topic == LogTopic::Configuration {
                    Duration::ZERO
                } else {
                    self.batch_pause()
                }
            }
            Err(TopicError::Trimmed { .. } | TopicError::Restored) => {
                self.next = None;
                Duration::ZERO
            }
            Err(error) => self.record_failure(&error),
        }
    }

    /// Returns how long a read waits for records.
    fn wait(&self) -> Duration {
        self.context.settings.bounds.shortest_bound().mul_f64(WAIT_SHARE)
    }

    fn batch_pause(&self) -> Duration {
        self.context.settings.bounds.shortest_bound() / BATCH_PAUSE_DIVISOR
    }

    fn apply_page(&mut self, page: &TopicPage, extent: PageExtent, began_at: Instant, read: ConfigRead) {
        match self.topic {
            LogTopic::Configuration => {
                let is_complete = extent != PageExtent::Changes;
                let now = self.context.leader.lease_time();
                for record in self.context.records.store(self.topic, page, is_complete, now) {
                    if let Some(is_usable) = apply_configuration(&self.context, record, read) {
                        self.is_refused = !is_usable;
                    }
                }
            }
            LogTopic::Runners => {
                // Changes may be those that another node had read.
                let reaches_end = extent != PageExtent::Changes;
                apply_runners(&self.context, page, extent, began_at, reaches_end);
            }
            LogTopic::Leases | LogTopic::StreamOrigins | LogTopic::Crashes => {}
        }
    }

    /// Returns how many records before the end of a page it does not hold, because newer ones replaced them.
    fn count_skipped(&self, page: &TopicPage) -> u64 {
        let read_count = page.records.len() as Offset;
        self.next
            .map_or(0, |from| page.next.saturating_sub(from.offset + read_count))
    }

    fn log_changes(&self, page: &TopicPage, skipped: u64, wait: Duration, started_at: Instant) {
        counter!("mustardgate_config_records_skipped_total").increment(skipped);
        events::RELAY_CHANGES_READ.write(
            self.context.log.logger(),
            o!(
                "elapsed_ms" => clock::now().saturating_duration_since(started_at).as_millis() as u64,
                "wait_ms" => wait.as_millis() as u64,
                "skipped" => skipped,
                "records" => page.records.len(),
                "next" => page.next,
            ),
        );
    }

    fn record_success(&mut self) {
        self.failures = 0;
        let Some(since) = self.failing_since.take() else { return };
        if self.topic == LogTopic::Runners {
            self.context.fleet.record_outage();
        }
        events::RELAY_TOPIC_READABLE.write(
            self.context.log.logger(),
            o!(
                "away_ms" => clock::now().saturating_duration_since(since).as_millis() as u64,
                "topic" => format!("{:?}", self.topic),
            ),
        );
    }

    fn record_failure(&mut self, error: &TopicError) -> Duration {
        counter!("mustardgate_topic_failures_total").increment(1);
        if self.topic == LogTopic::Runners {
            self.context.fleet.record_outage();
        }
        if self.failing_since.is_none() {
            self.failing_since = Some(clock::now());
            events::RELAY_TOPIC_UNREADABLE.write(
                self.context.log.logger(),
                o!("reason" => error.to_string(), "next" => self.next.unwrap_or_default().offset, "topic" => format!("{:?}", self.topic)),
            );
        }
        self.failures = (self.failures + 1).min(4);
        let pause = (FAILURE_PAUSE * 2_u32.pow(self.failures - 1)).min(FAILURE_PAUSE_MAX);
        pause.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

/// Returns the earliest time at which the end of the topic can have been read for a page, of a read that began and ended at
/// the times of `span` and took `elapsed` without the time for which the machine was suspended.
///
/// A node may be suspended between the answer and its receipt, so the page may be older than its receipt. A read of the log
/// without records has waited for them. Other nodes' pages have an age that counts the call.
fn oldest_read_time(page: &TopicPage, span: (Instant, Instant), elapsed: Duration, wait: Duration) -> Instant {
    let (began_at, now) = span;
    let waited = match page.origin.source {
        PageSource::Feeder | PageSource::Neighbour => elapsed,
        PageSource::Log if page.records.is_empty() => wait,
        PageSource::Log => Duration::ZERO,
    };
    let answered_at = now.min(began_at + waited);
    answered_at.checked_sub(page.origin.age).unwrap_or(began_at)
}

/// Applies a page of the runners' topic that was read in a read that began at `began_at`; `reaches_end` says that the topic
/// held no more then.
fn apply_runners(context: &RelayContext, page: &TopicPage, extent: PageExtent, began_at: Instant, reaches_end: bool) {
    let is_complete = extent != PageExtent::Changes;
    let now = context.leader.lease_time();
    let records = context.records.store(LogTopic::Runners, page, is_complete, now);
    match extent {
        PageExtent::Restored => restore_runners(context, &page.records),
        PageExtent::Complete => replace_runners(context, &page.records),
        PageExtent::Changes => {
            for record in records {
                apply_runner(context, record);
            }
        }
    }
    if is_complete {
        context.stream_log.record_gap();
    }
    let read = ListRead {
        reaches_end,
        is_complete,
        ..context.streams.list_read(began_at, now)
    };
    context.streams.record_list(read, &context.fleet);
}

/// Applies a record of the configuration topic; records under other keys are ignored. Returns whether the configuration can
/// be used, if it is one.
pub(crate) fn apply_configuration(context: &RelayContext, record: &TopicRecord, read: ConfigRead) -> Option<bool> {
    let decoder = &context.ports.decoder;
    let value = record
        .value
        .as_ref()
        .filter(|_| record.key == decoder.configuration_key())?;
    match decoder.decode_configuration(value) {
        Ok(config) => {
            let (version, routes) = (config.version, config.routes.len());
            let max_body_bytes = config.limits.max_body_bytes;
            // Requests that arrive under the configuration find the former targets of its routes.
            let now = context.leader.lease_time();
            context.streams.record_config(now, &config, read.may_skip);
            if context.routes.apply(config) {
                gauge!("mustardgate_config_version").set(version as f64);
                context.buffers.check_body_limit(max_body_bytes, context.log.logger());
                events::RELAY_CONFIG_IN_FORCE.write(
                    context.log.logger(),
                    o!(
                        "age_ms" => read.age.as_millis() as u64,
                        "elapsed_ms" => read.elapsed.as_millis() as u64,
                        "source" => read.source.to_string(),
                        "routes" => routes,
                        "offset" => record.offset,
                        "version" => version,
                    ),
                );
                if let Some(active) = context.routes.current() {
                    context.log_shared_keys(&active);
                }
            }
            Some(true)
        }
        Err(error) => {
            report_refused_record(context, record, &error);
            Some(false)
        }
    }
}

/// Applies a record of the runners' topic; a deleted entry removes its runner.
pub(crate) fn apply_runner(context: &RelayContext, record: &TopicRecord) {
    let Some(value) = &record.value else {
        return context.fleet.remove(&record.key);
    };
    if let Some(runner) = decode_runner(context, record, value) {
        context.fleet.put(runner);
    }
}

/// Replaces all runners with the newest records of the runners' topic, which contain every existing runner.
pub(crate) fn replace_runners(context: &RelayContext, records: &[TopicRecord]) {
    context.fleet.replace(decode_runners(context, records));
}

/// Applies the newest records of the runners' topic after the log was restored from an older copy.
fn restore_runners(context: &RelayContext, records: &[TopicRecord]) {
    context.fleet.restore(decode_runners(context, records));
}

fn decode_runners(context: &RelayContext, records: &[TopicRecord]) -> Vec<ListedRunner> {
    let decoded = records.iter().filter_map(|record| {
        let value = record.value.as_ref()?;
        decode_runner(context, record, value)
    });
    decoded.collect()
}

/// Decodes an entry; a runner whose entry cannot be used is not used either.
fn decode_runner(context: &RelayContext, record: &TopicRecord, value: &[u8]) -> Option<ListedRunner> {
    let decoded = context.ports.decoder.decode_runner(&record.key, value);
    let usable = decoded.and_then(|runner| {
        if context.settings.is_own_address(runner.address) {
            return Err(DecodeError::new(
                &record.key,
                format!("no runner is at {}", runner.address),
            ));
        }
        Ok(runner)
    });
    match usable {
        Ok(runner) => Some(runner),
        Err(error) => {
            context.fleet.refuse(&record.key);
            report_refused_record(context, record, &error);
            None
        }
    }
}

fn report_refused_record(context: &RelayContext, record: &TopicRecord, error: &DecodeError) {
    if !context.refusals.is_new(&record.key, record.offset) {
        return;
    }
    counter!("mustardgate_records_refused_total").increment(1);
    let Some(unlogged) = context.refusals.admit(clock::now()) else {
        return;
    };
    events::RELAY_RECORD_REFUSED.write(
        context.log.logger(),
        o!(
            "unlogged" => unlogged,
            "reason" => error.to_string(),
            "offset" => record.offset,
            "key" => record.key.to_string(),
        ),
    );
}
