//! Follows the platform's topics: the configuration and the runners.
//!
//! Each topic is read by long polls that end after a bounded wait, so that a connection that went silent is noticed well
//! within the time in which a change must be in force. What is known stays known while the topic cannot be read.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::Offset,
    ports::{LogTopic, TopicError, TopicPage, TopicRecord},
};
use rand::Rng;
use slog::o;
use tokio::time;

use crate::context::RelayContext;

/// Part of the time of undisturbed contact for which one read waits for records.
const WAIT_SHARE: f64 = 0.7;
/// Part of the shortest bound for which the leader's reads wait.
const LEADER_WAIT_SHARE: f64 = 0.3;
/// Part of the shortest bound on taking up a change for which a reader pauses after records, so that further ones gather
/// into the next answer.
const GATHER_SHARE: u32 = 8;
/// Pause after a failed read, at first and at most.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
const FAILURE_PAUSE_MAX: Duration = Duration::from_millis(800);

/// One topic that is followed.
#[derive(Debug)]
pub struct TopicFollower {
    context: Arc<RelayContext>,
    topic: LogTopic,
    next: Option<Offset>,
    failing_since: Option<Instant>,
    failures: u32,
}

impl TopicFollower {
    /// Creates a follower that has read nothing.
    pub fn new(context: Arc<RelayContext>, topic: LogTopic) -> Self {
        Self {
            context,
            topic,
            next: None,
            failing_since: None,
            failures: 0,
        }
    }

    /// Follows the topic for ever.
    pub async fn run(mut self) {
        loop {
            let pause = self.step().await;
            time::sleep(pause).await;
        }
    }

    /// Reads once and returns the pause before the next read.
    async fn step(&mut self) -> Duration {
        let outcome = match self.next {
            None => self.context.ports.topics.newest(self.topic).await,
            Some(from) => self.context.ports.topics.read(self.topic, from, self.wait()).await,
        };
        match outcome {
            Ok(page) => {
                self.note_success();
                let is_whole = self.next.is_none();
                self.next = Some(page.next);
                let is_quiet = page.records.is_empty();
                self.take(&page, is_whole);
                if is_quiet { Duration::ZERO } else { self.gather_pause() }
            }
            Err(TopicError::Trimmed { .. }) => {
                self.next = None;
                Duration::ZERO
            }
            Err(error) => self.note_failure(&error),
        }
    }

    /// Returns how long a read waits: shorter while this node leads, because others learn changes from it and have to
    /// notice soon when its own connection went silent.
    fn wait(&self) -> Duration {
        let bounds = &self.context.settings.bounds;
        if self.context.leader.token().is_some() {
            return bounds.shortest_bound().mul_f64(LEADER_WAIT_SHARE);
        }
        Duration::from_millis(bounds.contact_ms).mul_f64(WAIT_SHARE)
    }

    fn gather_pause(&self) -> Duration {
        self.context.settings.bounds.shortest_bound() / GATHER_SHARE
    }

    fn take(&self, page: &TopicPage, is_whole: bool) {
        self.context
            .records
            .take(self.topic, page, is_whole, self.context.leader.lease_time());
        match self.topic {
            LogTopic::Configuration => {
                for record in &page.records {
                    take_configuration(&self.context, record);
                }
            }
            LogTopic::Runners if is_whole => replace_runners(&self.context, &page.records),
            LogTopic::Runners => {
                for record in &page.records {
                    take_runner(&self.context, record);
                }
            }
            LogTopic::Leases => {}
        }
    }

    fn note_success(&mut self) {
        self.failures = 0;
        let Some(since) = self.failing_since.take() else { return };
        if self.topic == LogTopic::Runners {
            self.context.fleet.record_outage();
        }
        events::RELAY_TOPIC_REGAINED.write(
            self.context.log.logger(),
            o!(
                "away_ms" => clock::now().saturating_duration_since(since).as_millis() as u64,
                "topic" => format!("{:?}", self.topic),
            ),
        );
    }

    fn note_failure(&mut self, error: &TopicError) -> Duration {
        counter!("mustardgate_topic_failures_total").increment(1);
        if self.topic == LogTopic::Runners {
            self.context.fleet.record_outage();
        }
        if self.failing_since.is_none() {
            self.failing_since = Some(clock::now());
            events::RELAY_TOPIC_LOST.write(
                self.context.log.logger(),
                o!("reason" => error.to_string(), "next" => self.next.unwrap_or_default(), "topic" => format!("{:?}", self.topic)),
            );
        }
        self.failures = (self.failures + 1).min(4);
        let pause = (FAILURE_PAUSE * 2_u32.pow(self.failures - 1)).min(FAILURE_PAUSE_MAX);
        pause.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

/// Takes a record of the configuration topic.
pub(crate) fn take_configuration(context: &RelayContext, record: &TopicRecord) {
    let decoder = &context.ports.decoder;
    let Some(value) = record
        .value
        .as_ref()
        .filter(|_| record.key == decoder.configuration_key())
    else {
        return;
    };
    match decoder.decode_configuration(value) {
        Ok(config) => {
            let (version, routes) = (config.version, config.routes.len());
            if context.routes.apply(config) {
                events::RELAY_CONFIG_IN_FORCE.write(
                    context.log.logger(),
                    o!("routes" => routes, "offset" => record.offset, "version" => version),
                );
            }
        }
        Err(error) => refuse_record(context, record, &error),
    }
}

/// Takes a record of the runners' topic.
pub(crate) fn take_runner(context: &RelayContext, record: &TopicRecord) {
    match decode_runner(context, record) {
        Some(runner) => context.fleet.put(runner),
        None => context.fleet.remove(&record.key),
    }
}

/// Takes the newest records of the runners' topic, which name every runner there is.
pub(crate) fn replace_runners(context: &RelayContext, records: &[TopicRecord]) {
    let listed = records.iter().filter_map(|record| decode_runner(context, record));
    context.fleet.replace(listed.collect());
}

fn decode_runner(context: &RelayContext, record: &TopicRecord) -> Option<mustardgate_core::relay::ListedRunner> {
    let value = record.value.as_ref()?;
    match context.ports.decoder.decode_runner(&record.key, value) {
        Ok(runner) => Some(runner),
        Err(error) => {
            refuse_record(context, record, &error);
            None
        }
    }
}

fn refuse_record(context: &RelayContext, record: &TopicRecord, error: &crate::ports::DecodeError) {
    counter!("mustardgate_records_refused_total").increment(1);
    events::RELAY_RECORD_REFUSED.write(
        context.log.logger(),
        o!("reason" => error.to_string(), "offset" => record.offset, "key" => record.key.to_string()),
    );
}
