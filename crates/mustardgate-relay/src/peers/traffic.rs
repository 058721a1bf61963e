//! Bytes of the messages between nodes, and the work of a leader, for the log and the metrics.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use metrics::{counter, histogram};
use mustardgate::events;
use mustardgate_core::{clock, placement::share::PlanEffort};
use slog::{Logger, o};

/// Time between two lines about the control load of a node that leads or that no leader answers.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// Time over which bytes are summed to notice a burst; a full link holds up other traffic for as long.
const BURST_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the link that messages between nodes may fill in one direction within [`BURST_INTERVAL`] without a line.
const BURST_SHARE: f64 = 0.25;

/// Kind of a message between nodes, as in the metrics.
pub type MessageKind = &'static str;

/// Direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageDirection {
    /// From another node to this one.
    Received,
    /// From this node to another one.
    Sent,
}

/// Counts the bytes of messages between nodes and the work of plans.
///
/// A leader serves all nodes, so what it spends shows first whether a deployment has outgrown its machines; see
/// `docs/CAPACITY.md`.
#[derive(Debug)]
pub struct ControlLoad {
    counts: Mutex<LoadCounts>,
    burst: Mutex<BurstCounts>,
    /// Bytes in one direction within [`BURST_INTERVAL`] above which a line is written.
    burst_limit: u64,
    logger: Logger,
}

/// Counts of the current [`BURST_INTERVAL`].
#[derive(Debug)]
struct BurstCounts {
    since: Instant,
    bytes: MessageCounts,
}

/// Counts of messages by kind.
#[derive(Debug, Default)]
struct MessageCounts {
    by_kind: BTreeMap<MessageKind, DirectedBytes>,
}

/// Counts since the last line.
#[derive(Debug)]
struct LoadCounts {
    since: Instant,
    bytes: MessageCounts,
    plans: u32,
    plan_time: Duration,
    longest_plan: Duration,
    effort: PlanEffort,
    /// Longest time by which the runtime woke the planning task late.
    longest_lag: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct DirectedBytes {
    messages: u64,
    received: u64,
    sent: u64,
}

impl LoadCounts {
    fn new(since: Instant) -> Self {
        Self {
            since,
            bytes: MessageCounts::default(),
            plans: 0,
            plan_time: Duration::ZERO,
            longest_plan: Duration::ZERO,
            effort: PlanEffort::default(),
            longest_lag: Duration::ZERO,
        }
    }
}

impl MessageCounts {
    fn record(&mut self, kind: MessageKind, direction: MessageDirection, bytes: usize) {
        let counted = self.by_kind.entry(kind).or_default();
        match direction {
            MessageDirection::Received => counted.received += bytes as u64,
            MessageDirection::Sent => {
                counted.messages += 1;
                counted.sent += bytes as u64;
            }
        }
    }

    /// Returns the bytes of all kinds in the direction with more of them.
    fn largest_direction(&self) -> u64 {
        let received: u64 = self.by_kind.values().map(|bytes| bytes.received).sum();
        let sent = self.by_kind.values().map(|bytes| bytes.sent).sum();
        received.max(sent)
    }

    /// Describes the messages of each kind: their number, and the bytes received and sent.
    fn describe(&self) -> String {
        let kinds = self.by_kind.iter();
        let texts: Vec<String> = kinds
            .map(|(kind, bytes)| format!("{kind}:{}:{}/{}", bytes.messages, bytes.received, bytes.sent))
            .collect();
        texts.join(" ")
    }
}

impl ControlLoad {
    /// Creates counts that begin now, for a node with a link of `link_bytes_per_s`.
    pub fn new(link_bytes_per_s: f64, logger: Logger) -> Self {
        let now = clock::now();
        Self {
            counts: Mutex::new(LoadCounts::new(now)),
            burst: Mutex::new(BurstCounts {
                since: now,
                bytes: MessageCounts::default(),
            }),
            burst_limit: (link_bytes_per_s * BURST_SHARE * BURST_INTERVAL.as_secs_f64()) as u64,
            logger,
        }
    }

    /// Counts a message.
    pub fn record_message(&self, kind: MessageKind, direction: MessageDirection, bytes: usize) {
        let label = match direction {
            MessageDirection::Received => "received",
            MessageDirection::Sent => "sent",
        };
        counter!("mustardgate_peer_bytes_total", "kind" => kind, "direction" => label).increment(bytes as u64);
        self.lock().bytes.record(kind, direction, bytes);
        self.record_burst(kind, direction, bytes);
    }

    /// Writes a line once messages have filled a good part of the link for a while, whether or not this node leads.
    fn record_burst(&self, kind: MessageKind, direction: MessageDirection, bytes: usize) {
        let now = clock::now();
        let mut burst = self.burst.lock().expect("no holder of the lock panics");
        let elapsed = now.saturating_duration_since(burst.since);
        let mut ended = MessageCounts::default();
        if elapsed >= BURST_INTERVAL {
            burst.since = now;
            ended = std::mem::take(&mut burst.bytes);
        }
        burst.bytes.record(kind, direction, bytes);
        drop(burst);
        // A longer interval has had pauses, so its bytes say nothing of a single second.
        if ended.largest_direction() <= self.burst_limit || elapsed >= BURST_INTERVAL * 2 {
            return;
        }
        events::RELAY_CONTROL_BURST.write(
            &self.logger,
            o!(
                "messages" => ended.describe(),
                "limit" => self.burst_limit,
                "elapsed_ms" => elapsed.as_millis() as u64,
            ),
        );
    }

    /// Records a plan that took a time, during which nothing else runs on the node.
    pub fn record_plan(&self, elapsed: Duration, effort: PlanEffort) {
        histogram!("mustardgate_plan_seconds").record(elapsed.as_secs_f64());
        counter!("mustardgate_plan_steps_total", "of" => "models").increment(effort.models);
        counter!("mustardgate_plan_steps_total", "of" => "runners").increment(effort.runners);
        let mut counts = self.lock();
        counts.plans += 1;
        counts.plan_time += elapsed;
        counts.longest_plan = counts.longest_plan.max(elapsed);
        counts.effort.models += effort.models;
        counts.effort.runners += effort.runners;
    }

    /// Records by how much the runtime woke a task late.
    pub fn record_lag(&self, lag: Duration) {
        histogram!("mustardgate_runtime_lag_seconds").record(lag.as_secs_f64());
        let mut counts = self.lock();
        counts.longest_lag = counts.longest_lag.max(lag);
    }

    /// Writes a line for a node that leads or that no leader answers, if one is due, and starts to count anew.
    pub fn review(&self, is_leading: bool, has_contact: bool) {
        let now = clock::now();
        let mut current = self.lock();
        if now.saturating_duration_since(current.since) < LINE_INTERVAL {
            return;
        }
        let counts = std::mem::replace(&mut *current, LoadCounts::new(now));
        drop(current);
        if !is_leading && has_contact {
            return;
        }
        let values = o!(
            "messages" => counts.bytes.describe(),
            "longest_lag_ms" => counts.longest_lag.as_millis() as u64,
            "runners_examined" => counts.effort.runners,
            "models_examined" => counts.effort.models,
            "longest_plan_ms" => counts.longest_plan.as_millis() as u64,
            "plan_ms" => counts.plan_time.as_millis() as u64,
            "plans" => counts.plans,
            "elapsed_ms" => now.saturating_duration_since(counts.since).as_millis() as u64,
            "is_leading" => is_leading,
        );
        events::RELAY_CONTROL_LOAD.write(&self.logger, values);
    }

    fn lock(&self) -> MutexGuard<'_, LoadCounts> {
        self.counts.lock().expect("no holder of the lock panics")
    }
}
