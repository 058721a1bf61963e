//! The log through a neighbour, for a node that does not reach it itself.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use metrics::counter;
use mustardgate_core::{
    clock,
    ids::Offset,
    ports::{ConditionalAppendError, LogTopic, TopicError, TopicLog, TopicPage},
};
use rand::seq::IndexedRandom;

use super::{LogCall, LogReply, PeerClient, PeerDirectory};

/// Time after a failed call before the log itself is tried again.
const DIRECT_PAUSE: Duration = Duration::from_millis(900);
/// Parts of the bound on taking up a change: wait of a fed read, time beyond it, and accepted age of what it brings.
const FED_WAIT_SHARE: f64 = 0.25;
const FED_SLACK_SHARE: f64 = 0.2;
const FED_AGE_SHARE: f64 = 0.45;
/// Longest wait for records that a neighbour is asked for.
const NEIGHBOUR_WAIT: Duration = Duration::from_millis(300);

/// Calls the log, or has a neighbour call it while the log refuses or does not answer this node.
///
/// A conditional append may be sent again this way: the record can only stand at one offset, and whether it does is read
/// from the log.
#[derive(Debug)]
pub struct NeighbourLog {
    direct: Arc<dyn TopicLog>,
    peers: PeerClient,
    directory: Arc<PeerDirectory>,
    seeds: Vec<SocketAddr>,
    failed_at: Mutex<Option<Instant>>,
    /// Shortest time within which a change must be taken up.
    bound: Duration,
}

impl NeighbourLog {
    /// Creates the log of a node that knows the neighbours of `directory`, and `seeds` before it has heard of any.
    pub fn new(
        direct: Arc<dyn TopicLog>,
        peers: PeerClient,
        directory: Arc<PeerDirectory>,
        seeds: Vec<SocketAddr>,
        bound: Duration,
    ) -> Self {
        Self {
            direct,
            peers,
            directory,
            seeds,
            failed_at: Mutex::new(None),
            bound,
        }
    }

    /// Reads changes from the leader, which spares the log a call of each node for each change.
    ///
    /// Waits, time-outs and the accepted age together stay within the bound on taking up a change, so that a leader that
    /// falls silent, or whose own connection does, delays nobody beyond it.
    async fn read_fed(&self, topic: LogTopic, from: Offset) -> Option<TopicPage> {
        let feeder = self.directory.feeder().filter(|_| topic != LogTopic::Leases)?;
        let wait = self.bound.mul_f64(FED_WAIT_SHARE);
        let call = LogCall::Changes { topic, from, wait };
        let timeout = wait + self.bound.mul_f64(FED_SLACK_SHARE);
        let fed = self.peers.read_changes(feeder, &call, timeout).await;
        let fresh = fed.filter(|(_, age)| *age <= self.bound.mul_f64(FED_AGE_SHARE));
        if fresh.is_none() {
            self.directory.set_feeder(None);
            counter!("mustardgate_feeds_lost_total").increment(1);
        }
        fresh.map(|(page, _)| page)
    }

    fn is_direct(&self) -> bool {
        let failed_at = self.failed_at.lock().expect("no holder of the lock panics");
        failed_at.is_none_or(|at| clock::now().saturating_duration_since(at) >= DIRECT_PAUSE)
    }

    fn note_direct(&self, is_answered: bool) {
        let mut failed_at = self.failed_at.lock().expect("no holder of the lock panics");
        *failed_at = (!is_answered).then(clock::now);
    }

    async fn ask(&self, call: &LogCall) -> Option<LogReply> {
        let known = self.directory.addresses();
        let neighbours = if known.is_empty() { &self.seeds } else { &known };
        let neighbour = *neighbours.choose(&mut rand::rng())?;
        let reply = self.peers.call_log(neighbour, call).await;
        counter!("mustardgate_log_calls_by_neighbour_total", "is_answered" => reply.is_some().to_string()).increment(1);
        reply
    }

    async fn ask_page(&self, call: &LogCall, error: TopicError) -> Result<TopicPage, TopicError> {
        match self.ask(call).await {
            Some(LogReply::Page(page)) => page,
            _ => Err(error),
        }
    }
}

fn is_answer<T>(outcome: &Result<T, TopicError>) -> bool {
    !matches!(outcome, Err(TopicError::Unavailable { .. }))
}

#[async_trait]
impl TopicLog for NeighbourLog {
    async fn read(&self, topic: LogTopic, from: Offset, wait: Duration) -> Result<TopicPage, TopicError> {
        let is_fed = self.directory.feeder().is_some() && topic != LogTopic::Leases;
        if let Some(page) = self.read_fed(topic, from).await {
            return Ok(page);
        }
        // What a lost feed kept back is read at once.
        let wait = if is_fed { Duration::ZERO } else { wait };
        let mut error = TopicError::unavailable("the last call failed");
        if self.is_direct() {
            let outcome = self.direct.read(topic, from, wait).await;
            self.note_direct(is_answer(&outcome));
            match outcome {
                Err(unavailable @ TopicError::Unavailable { .. }) => error = unavailable,
                outcome => return outcome,
            }
        }
        let call = LogCall::Read {
            topic,
            from,
            wait: wait.min(NEIGHBOUR_WAIT),
        };
        self.ask_page(&call, error).await
    }

    async fn newest(&self, topic: LogTopic) -> Result<TopicPage, TopicError> {
        let mut error = TopicError::unavailable("the last call failed");
        if self.is_direct() {
            let outcome = self.direct.newest(topic).await;
            self.note_direct(is_answer(&outcome));
            match outcome {
                Err(unavailable @ TopicError::Unavailable { .. }) => error = unavailable,
                outcome => return outcome,
            }
        }
        self.ask_page(&LogCall::Newest { topic }, error).await
    }

    async fn append_at(&self, topic: LogTopic, at: Offset, value: Vec<u8>) -> Result<Offset, ConditionalAppendError> {
        let mut error = ConditionalAppendError::NotAppended;
        if self.is_direct() {
            match self.direct.append_at(topic, at, value.clone()).await {
                Err(failed @ (ConditionalAppendError::NotAppended | ConditionalAppendError::Unknown)) => {
                    self.note_direct(false);
                    error = failed;
                }
                outcome => {
                    self.note_direct(true);
                    return outcome;
                }
            }
        }
        match self.ask(&LogCall::AppendAt { topic, at, value }).await {
            Some(LogReply::Appended(Err(ConditionalAppendError::NotAppended))) => Err(error),
            Some(LogReply::Appended(outcome)) => outcome,
            _ => Err(ConditionalAppendError::Unknown),
        }
    }
}
