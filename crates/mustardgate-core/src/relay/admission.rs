//! Which requests are refused under load, and when a refused caller should come back.

use std::time::Duration;

use derive_more::Display;

/// Why a request is not served now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration is known yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// No runner of the service takes new work.
    #[display("no_runner")]
    NoRunner,
    /// No runner holds the model; a load is asked for.
    #[display("model_absent")]
    ModelAbsent,
    /// No runner holds the adapter, and none could load it now.
    #[display("adapter_absent")]
    AdapterAbsent,
    /// Every runner that could answer in time is full.
    #[display("overloaded")]
    Overloaded,
    /// Runners refused the request, or could not be reached, as often as it may be tried.
    #[display("attempts_used_up")]
    AttemptsUsedUp,
    /// The node is stopping.
    #[display("stopping")]
    Stopping,
}

/// Settings of [`AdmissionGate`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateSettings {
    /// Part of a route's target latency up to which a wait is accepted.
    pub target_share: f64,
    /// The same for a caller that has come back, whose target is missed already: it only takes what others leave.
    pub late_share: f64,
    /// Longest wait that a patient request adds to, so that it does not push urgent ones past their targets.
    pub patient_wait: Duration,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            target_share: 0.85,
            late_share: 0.5,
            patient_wait: Duration::from_millis(1_200),
        }
    }
}

/// What the gate is asked about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionQuestion {
    /// Expected wait for the first word at the best runner.
    pub wait: Duration,
    /// Time since the request came.
    pub elapsed: Duration,
    /// Target latency of its route.
    pub target: Duration,
    /// Time that the caller will still wait.
    pub left: Duration,
    /// Whether the caller has come back, so that the target is missed already.
    pub is_late: bool,
}

/// Refuses at once what a runner could not begin in time.
///
/// Engines read prompts in order, so under a burst, or while demand moves to a model with few replicas, every request that
/// is let in late makes those behind it late too. Turning away what cannot meet its target keeps the rest within theirs.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionGate {
    settings: GateSettings,
}

impl AdmissionGate {
    /// Creates a gate.
    pub fn new(settings: GateSettings) -> Self {
        Self { settings }
    }

    /// Returns whether the request is sent to the runner.
    pub fn admits(&self, question: &AdmissionQuestion) -> bool {
        let bound = if question.is_late {
            question.target.mul_f64(self.settings.late_share)
        } else {
            question.target.mul_f64(self.settings.target_share)
        };
        question.wait + question.elapsed <= bound.min(self.settings.patient_wait)
    }
}

/// Settings of [`RetryAdvisor`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAdvisorSettings {
    /// Time for an overload to ease a little.
    pub overload_pause: Duration,
    /// Time within which a lost runner is replaced or found again.
    pub absence_pause: Duration,
    /// Share of the pause over which returns are spread.
    pub spread: f64,
}

impl Default for RetryAdvisorSettings {
    fn default() -> Self {
        Self {
            overload_pause: Duration::from_millis(250),
            absence_pause: Duration::from_millis(500),
            spread: 1.0,
        }
    }
}

/// Tells refused callers when another try has a chance, spread so that they do not return together.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryAdvisor {
    settings: RetryAdvisorSettings,
}

impl RetryAdvisor {
    /// Creates an advisor.
    pub fn new(settings: RetryAdvisorSettings) -> Self {
        Self { settings }
    }

    /// Returns the pause for a cause; `load_left` is the time that a load under way still takes, `draw` lies in 0..1.
    pub fn pause(&self, cause: RefusalCause, load_left: Option<Duration>, draw: f64) -> Duration {
        let base = match cause {
            RefusalCause::Overloaded | RefusalCause::AttemptsUsedUp => self.settings.overload_pause,
            RefusalCause::Stopping => Duration::ZERO,
            RefusalCause::ModelAbsent => load_left.unwrap_or(self.settings.absence_pause),
            RefusalCause::NoConfiguration | RefusalCause::NoRunner | RefusalCause::AdapterAbsent => {
                self.settings.absence_pause
            }
        };
        base.mul_f64(1.0 + draw * self.settings.spread)
    }
}
