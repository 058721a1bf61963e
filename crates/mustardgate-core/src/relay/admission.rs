//! Refusal of requests under load, and the delay after which a refused caller should retry.

use std::time::Duration;

use derive_more::Display;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration has been received yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// No runner of the service accepts new requests.
    #[display("no_runner")]
    NoRunner,
    /// No runner holds the model; the request counts as demand, for which the leader may load it.
    #[display("model_absent")]
    ModelAbsent,
    /// No runner holds the adapter, and none could load it now.
    #[display("adapter_absent")]
    AdapterAbsent,
    /// Every runner that could answer in time is at capacity.
    #[display("overloaded")]
    Overloaded,
    /// Every allowed attempt ended with a runner that refused the request or could not be reached.
    #[display("attempts_used_up")]
    AttemptsUsedUp,
    /// The prompt has a part under which runners crash.
    #[display("prompt_quarantined")]
    PromptQuarantined,
    /// Runners crash under the request.
    #[display("request_quarantined")]
    RequestQuarantined,
    /// The caller takes up a stream of which it is not known at which software version it began.
    #[display("stream_version_unknown")]
    StreamVersionUnknown,
    /// No runner of the software version that began the stream can go on with it.
    #[display("stream_version_absent")]
    StreamVersionAbsent,
    /// Neither this node nor one that it asked reaches the runners.
    #[display("runners_unreachable")]
    RunnersUnreachable,
    /// The node stops, and the request may take longer than it still runs.
    #[display("node_stopping")]
    NodeStopping,
    /// No tenant is known to have the request's key, but the key may be newer than the configuration in force.
    #[display("key_unconfirmed")]
    KeyUnconfirmed,
    /// The configuration has not been read for so long that any key may have been removed.
    #[display("keys_outdated")]
    KeysOutdated,
    /// The node has no room to keep the request until it is answered.
    #[display("no_room")]
    NoRoom,
}

/// Settings of [`AdmissionGate`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateSettings {
    /// Longest accepted wait, as a fraction of the service's shortest target latency. It is well below one because the
    /// wait is measured on requests that are still waiting, and keeps growing until they are answered.
    pub max_wait_share: f64,
    /// Fraction of that wait for a latency-tolerant route, which only uses the capacity that other routes leave.
    pub tolerant_share: f64,
    /// Multiple of the service's shortest target latency from which a route counts as latency-tolerant.
    pub tolerant_factor: u32,
    /// Longest time that a request may wait to be admitted, as a fraction of its route's target latency.
    pub max_queue_share: f64,
    /// Longest accepted wait of a stream that has begun, as a fraction of its route's target latency. Its caller holds a
    /// part of it, which would be lost, and only the runners of one version can go on with it.
    pub begun_wait_share: f64,
    /// Longest time that a stream that has begun may wait to be admitted, as a fraction of that target.
    pub begun_queue_share: f64,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            max_wait_share: 0.45,
            tolerant_share: 0.5,
            tolerant_factor: 4,
            max_queue_share: 0.12,
            begun_wait_share: 1.5,
            begun_queue_share: 0.5,
        }
    }
}

/// What an admission decision depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionQuery {
    /// Expected time to the first token at the best runner.
    pub wait: Duration,
    /// Time since the request was received.
    pub elapsed: Duration,
    /// Target latency of the request's route.
    pub target: Duration,
    /// Shortest target latency of the routes to the same service.
    pub urgent_target: Duration,
    /// Whether the request goes on with a stream of which the caller has received a part.
    pub is_begun: bool,
}

/// Refuses requests that a runner could not start answering in time.
///
/// Engines process prompts in order. During a burst, or while demand shifts to a model with few replicas, each admitted
/// request that misses its target delays those queued behind it. Refusing it early keeps the rest within their targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionGate {
    settings: GateSettings,
}

impl AdmissionGate {
    /// Creates a gate.
    pub fn new(settings: GateSettings) -> Self {
        Self { settings }
    }

    /// Returns whether the request may be sent to the runner now.
    pub fn admits(&self, query: &AdmissionQuery) -> bool {
        if query.is_begun {
            return query.wait <= query.target.mul_f64(self.settings.begun_wait_share);
        }
        let shortest = query.urgent_target.min(query.target);
        let is_tolerant = query.target >= shortest * self.settings.tolerant_factor;
        let share = if is_tolerant {
            self.settings.max_wait_share * self.settings.tolerant_share
        } else {
            self.settings.max_wait_share
        };
        query.wait <= shortest.mul_f64(share)
    }

    /// Returns how long after its arrival a request may still wait to be admitted; then it is refused.
    pub fn max_queue_time(&self, query: &AdmissionQuery) -> Duration {
        let share = if query.is_begun {
            self.settings.begun_queue_share
        } else {
            self.settings.max_queue_share
        };
        query.target.mul_f64(share)
    }
}

/// Settings of [`RetryAdvisor`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAdvisorSettings {
    /// Delay after an overload, which needs a short time to ease.
    pub overload_delay: Duration,
    /// Delay after no suitable runner was found: time in which a lost runner is replaced or discovered again, or in which
    /// the configuration is read again.
    pub absence_delay: Duration,
    /// Delay after a refusal because of a quarantined input.
    pub quarantine_delay: Duration,
    /// Delay after a refusal by a node that stops: other nodes serve the caller at once.
    pub stop_delay: Duration,
    /// Largest random extension, as a fraction of the delay.
    pub jitter: f64,
}

impl Default for RetryAdvisorSettings {
    fn default() -> Self {
        Self {
            overload_delay: Duration::from_millis(250),
            absence_delay: Duration::from_millis(500),
            quarantine_delay: Duration::from_secs(60),
            stop_delay: Duration::from_millis(20),
            jitter: 1.0,
        }
    }
}

/// Computes the delay after which a refused caller should retry, with jitter so that callers do not retry together.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAdvisor {
    settings: RetryAdvisorSettings,
}

impl RetryAdvisor {
    /// Creates an advisor.
    pub fn new(settings: RetryAdvisorSettings) -> Self {
        Self { settings }
    }

    /// Returns the delay for a cause; `load_left` is the remaining time of a model load in progress, `draw` a random
    /// number in 0..1.
    pub fn retry_delay(&self, cause: RefusalCause, load_left: Option<Duration>, draw: f64) -> Duration {
        let base = match cause {
            RefusalCause::Overloaded | RefusalCause::AttemptsUsedUp | RefusalCause::NoRoom => {
                self.settings.overload_delay
            }
            RefusalCause::PromptQuarantined | RefusalCause::RequestQuarantined => self.settings.quarantine_delay,
            RefusalCause::NodeStopping => self.settings.stop_delay,
            RefusalCause::ModelAbsent => load_left.unwrap_or(self.settings.absence_delay),
            RefusalCause::NoConfiguration
            | RefusalCause::NoRunner
            | RefusalCause::AdapterAbsent
            | RefusalCause::StreamVersionUnknown
            | RefusalCause::StreamVersionAbsent
            | RefusalCause::RunnersUnreachable
            | RefusalCause::KeyUnconfirmed
            | RefusalCause::KeysOutdated => self.settings.absence_delay,
        };
        base.mul_f64(1.0 + draw * self.settings.jitter)
    }
}
