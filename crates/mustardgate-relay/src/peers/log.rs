//! Access to the log through a neighbour, for a node that cannot reach the log itself.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::Offset,
    ports::{ConditionalAppendError, LogTopic, PageOrigin, PageSource, TopicError, TopicLog, TopicPage, TopicPosition},
    relay::FeedTimes,
};
use rand::seq::IndexedRandom;
use serde_bytes::ByteBuf;
use slog::{Logger, o};

use super::{LogCall, LogReply, MAX_MESSAGE_TIME, PeerClient, PeerDirectory};

/// Time after a failed call to the log before the node calls it directly again.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_millis(900);
/// Longest time for which a neighbour is asked to wait for records.
const MAX_NEIGHBOUR_WAIT: Duration = Duration::from_millis(300);
/// Time within which a refusal leaves enough of the time of a call to ask another neighbour.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

/// Calls the log directly, or through a neighbour while the log refuses or does not answer this node.
///
/// A conditional append may therefore be sent twice. This is safe, because the record can only be appended at one
/// offset and the log shows whether it was.
#[derive(Debug)]
pub struct NeighbourLog {
    direct: Arc<dyn TopicLog>,
    peers: PeerClient,
    directory: Arc<PeerDirectory>,
    seeds: Vec<SocketAddr>,
    failed_at: Mutex<Option<Instant>>,
    known: Mutex<HashMap<LogTopic, KnownState>>,
    /// Shortest time within which a change must be taken up.
    bound: Duration,
    logger: Logger,
}

/// What is known of a topic.
#[derive(Clone, Copy, Debug)]
struct KnownState {
    /// Time at which the log held nothing newer.
    at: Instant,
    /// Whether it came from the log in a page that was under way for long, so that more is likely to have been written
    /// since. The feeder may be reading that itself.
    is_slow_page: bool,
}

impl NeighbourLog {
    /// Creates the log of a node whose neighbours are those in `directory`, or `seeds` while the directory is empty.
    pub fn new(
        direct: Arc<dyn TopicLog>,
        peers: PeerClient,
        directory: Arc<PeerDirectory>,
        seeds: Vec<SocketAddr>,
        bound: Duration,
        logger: Logger,
    ) -> Self {
        Self {
            direct,
            peers,
            directory,
            seeds,
            failed_at: Mutex::new(None),
            known: Mutex::default(),
            bound,
            logger,
        }
    }

    /// Reads changes from the feeder, which is the leader, so that not every node calls the log for every change.
    ///
    /// What was known of the log before, the time of this read and a read of the log after it stay within the bound on
    /// taking up a change together, when the leader or its connection to the log stops responding.
    async fn read_from_feeder(&self, topic: LogTopic, from: TopicPosition) -> Option<TopicPage> {
        let feeder = self.directory.feeder().filter(|_| topic.is_keyed())?;
        let times = self.feed_times(topic)?;
        let call = LogCall::Changes {
            topic,
            from: from.offset,
            wait: times.wait,
            era: from.era,
        };
        let sent_at = clock::now();
        let reason = match self.peers.read_changes(feeder, &call, times.timeout).await {
            Some(Ok((page, told_age))) => {
                let elapsed = clock::now().saturating_duration_since(sent_at);
                let age = times.age_on_receipt(told_age, elapsed, page.waited);
                if FeedTimes::accepts(self.bound, told_age, age, !page.records.is_empty()) {
                    let source = PageSource::Feeder;
                    let origin = PageOrigin { source, age };
                    return Some(TopicPage { origin, ..page });
                }
                "stale"
            }
            Some(Err(_)) => "refused",
            None => "no_answer",
        };
        if reason == "refused" {
            self.directory.suspend_feeder();
        } else {
            self.directory.set_feeder(None);
        }
        counter!("mustardgate_feeds_lost_total", "reason" => reason).increment(1);
        events::RELAY_FEED_LOST.write(
            &self.logger,
            o!(
                "elapsed_ms" => clock::now().saturating_duration_since(sent_at).as_millis() as u64,
                "reason" => reason,
                "feeder" => feeder.to_string(),
                "topic" => format!("{topic:?}"),
            ),
        );
        None
    }

    /// Returns the times of a read from the feeder, or `None` if the log is to be read.
    fn feed_times(&self, topic: LogTopic) -> Option<FeedTimes> {
        let known = self.known.lock().expect("no holder of the lock panics");
        let Some(known) = known.get(&topic) else {
            return FeedTimes::within(self.bound, Duration::ZERO);
        };
        let known_age = clock::now().saturating_duration_since(known.at);
        FeedTimes::within(self.bound, known_age).filter(|_| !known.is_slow_page)
    }

    /// Records what is known after a read. A part of what the log held says nothing about the rest.
    fn record_known(&self, topic: LogTopic, page: &TopicPage) {
        if page.is_partial {
            return;
        }
        let now = clock::now();
        let page_at = now.checked_sub(page.origin.age).unwrap_or(now);
        let is_slow = page.origin.source == PageSource::Log && page.origin.age >= FeedTimes::slow_page(self.bound);
        let mut known = self.known.lock().expect("no holder of the lock panics");
        let former_at = known.get(&topic).map_or(page_at, |known| known.at);
        let state = KnownState {
            at: page_at.max(former_at),
            is_slow_page: is_slow && !page.records.is_empty(),
        };
        known.insert(topic, state);
    }

    fn is_direct_due(&self) -> bool {
        let failed_at = self.failed_at.lock().expect("no holder of the lock panics");
        failed_at.is_none_or(|at| clock::now().saturating_duration_since(at) >= DIRECT_RETRY_INTERVAL)
    }

    fn record_direct_call(&self, started_at: Instant, is_answered: bool) {
        let now = clock::now();
        let mut failed_at = self.failed_at.lock().expect("no holder of the lock panics");
        let was_answered = failed_at.is_none();
        *failed_at = (!is_answered).then_some(now);
        drop(failed_at);
        if was_answered && !is_answered {
            let elapsed_ms = now.saturating_duration_since(started_at).as_millis() as u64;
            events::RELAY_LOG_BYPASSED.write(&self.logger, o!("elapsed_ms" => elapsed_ms));
        }
    }

    /// Returns up to `count` neighbours, by lot.
    fn choose_neighbours(&self, count: usize) -> Vec<SocketAddr> {
        let known = self.directory.addresses();
        let neighbours = if known.is_empty() { &self.seeds } else { &known };
        neighbours.choose_multiple(&mut rand::rng(), count).copied().collect()
    }

    async fn call_neighbour(&self, call: &LogCall) -> Option<LogReply> {
        let neighbour = *self.choose_neighbours(1).first()?;
        self.call_one(neighbour, call, MAX_MESSAGE_TIME).await
    }

    async fn call_one(&self, neighbour: SocketAddr, call: &LogCall, timeout: Duration) -> Option<LogReply> {
        let reply = self.peers.call_log_within(neighbour, call, timeout).await;
        counter!("mustardgate_log_calls_by_neighbour_total", "is_answered" => reply.is_some().to_string()).increment(1);
        reply
    }

    /// Reads through a neighbour, and through another one if the first refuses at once. The answer of the second has to
    /// begin within the time of one call.
    async fn read_through_neighbour(&self, call: &LogCall, error: TopicError) -> Result<TopicPage, TopicError> {
        let neighbours = self.choose_neighbours(2);
        let mut neighbours = neighbours.into_iter();
        let Some(first) = neighbours.next() else {
            return Err(error);
        };
        let asked_at = clock::now();
        let mut reply = self.call_one(first, call, MAX_MESSAGE_TIME).await;
        let elapsed = clock::now().saturating_duration_since(asked_at);
        let is_refused = matches!(reply, Some(LogReply::Page(Err(TopicError::Unavailable { .. }))));
        if let Some(second) = neighbours.next().filter(|_| is_refused && elapsed <= REFUSAL_TIME) {
            reply = self
                .call_one(second, call, MAX_MESSAGE_TIME.saturating_sub(elapsed))
                .await;
        }
        match reply {
            Some(LogReply::Page(page)) => {
                let source = PageSource::Neighbour;
                let elapsed = clock::now().saturating_duration_since(asked_at);
                page.map(|page| {
                    let age = elapsed + page.began_before;
                    let origin = PageOrigin { source, age };
                    TopicPage { origin, ..page }
                })
            }
            _ => Err(error),
        }
    }

    async fn read_from_any(
        &self,
        topic: LogTopic,
        from: TopicPosition,
        wait: Duration,
    ) -> Result<TopicPage, TopicError> {
        let has_feeder = self.directory.feeder().is_some() && topic.is_keyed();
        if let Some(page) = self.read_from_feeder(topic, from).await {
            return Ok(page);
        }
        // After a failed read from the feeder, changes that it did not pass on are read without a wait.
        let wait = if has_feeder { Duration::ZERO } else { wait };
        let mut error = TopicError::unavailable("the last call failed");
        if self.is_direct_due() {
            let started_at = clock::now();
            let outcome = self.direct.read(topic, from, wait).await;
            self.record_direct_call(started_at, is_answered(&outcome));
            match outcome {
                Err(unavailable @ TopicError::Unavailable { .. }) => error = unavailable,
                outcome => return outcome,
            }
        }
        let call = LogCall::Read {
            topic,
            from: from.offset,
            wait: wait.min(MAX_NEIGHBOUR_WAIT),
            era: from.era,
        };
        self.read_through_neighbour(&call, error).await
    }

    async fn newest_from_any(&self, topic: LogTopic) -> Result<TopicPage, TopicError> {
        let mut error = TopicError::unavailable("the last call failed");
        if self.is_direct_due() {
            let started_at = clock::now();
            let outcome = self.direct.newest(topic).await;
            self.record_direct_call(started_at, is_answered(&outcome));
            match outcome {
                Err(unavailable @ TopicError::Unavailable { .. }) => error = unavailable,
                outcome => return outcome,
            }
        }
        self.read_through_neighbour(&LogCall::Newest { topic }, error).await
    }
}

fn is_answered<T>(outcome: &Result<T, TopicError>) -> bool {
    !matches!(outcome, Err(TopicError::Unavailable { .. }))
}

#[async_trait]
impl TopicLog for NeighbourLog {
    async fn read(&self, topic: LogTopic, from: TopicPosition, wait: Duration) -> Result<TopicPage, TopicError> {
        let outcome = self.read_from_any(topic, from, wait).await;
        if let Ok(page) = &outcome {
            self.record_known(topic, page);
        }
        outcome
    }

    async fn newest(&self, topic: LogTopic) -> Result<TopicPage, TopicError> {
        let outcome = self.newest_from_any(topic).await;
        if let Ok(page) = &outcome {
            self.record_known(topic, page);
        }
        outcome
    }

    async fn append_at(
        &self,
        topic: LogTopic,
        at: TopicPosition,
        value: Vec<u8>,
    ) -> Result<Offset, ConditionalAppendError> {
        let mut error = ConditionalAppendError::NotAppended;
        if self.is_direct_due() {
            let started_at = clock::now();
            match self.direct.append_at(topic, at, value.clone()).await {
                Err(failed @ (ConditionalAppendError::NotAppended | ConditionalAppendError::Unknown)) => {
                    self.record_direct_call(started_at, false);
                    error = failed;
                }
                outcome => {
                    self.record_direct_call(started_at, true);
                    return outcome;
                }
            }
        }
        let call = LogCall::AppendAt {
            topic,
            at: at.offset,
            value,
            era: at.era,
        };
        match self.call_neighbour(&call).await {
            Some(LogReply::Appended(Err(ConditionalAppendError::NotAppended))) => Err(error),
            Some(LogReply::Appended(outcome)) => outcome,
            _ => Err(ConditionalAppendError::Unknown),
        }
    }

    async fn append(&self, topic: LogTopic, records: Vec<Vec<u8>>) -> Result<(), TopicError> {
        let mut error = TopicError::unavailable("the last call failed");
        if self.is_direct_due() {
            let started_at = clock::now();
            match self.direct.append(topic, records.clone()).await {
                Ok(()) => {
                    self.record_direct_call(started_at, true);
                    return Ok(());
                }
                Err(unavailable) => error = unavailable,
            }
            self.record_direct_call(started_at, false);
        }
        let values = records.into_iter().map(ByteBuf::from).collect();
        match self.call_neighbour(&LogCall::Append { topic, values }).await {
            Some(LogReply::Written(outcome)) => outcome,
            _ => Err(error),
        }
    }
}
