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
}

/// Settings of [`AdmissionGate`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateSettings {
    /// Part of the most urgent target of a service up to which a wait is accepted. Well below one, because the wait is
    /// measured on requests that still wait, and grows on while these are answered.
    pub target_share: f64,
    /// Part of that for a patient route, which only takes what others leave.
    pub yielding_share: f64,
    /// Factor on the most urgent target from which on a route counts as patient.
    pub patient_factor: u32,
    /// Part of a route's target for which a request may wait for room before it is refused.
    pub queue_share: f64,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            target_share: 0.45,
            yielding_share: 0.5,
            patient_factor: 4,
            queue_share: 0.12,
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
    /// Shortest target latency of the routes to the same service.
    pub urgent_target: Duration,
}

/// Refuses early what a runner could not begin in time.
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

    /// Returns whether the request is sent to the runner now.
    pub fn admits(&self, question: &AdmissionQuestion) -> bool {
        let urgent = question.urgent_target.min(question.target);
        let is_patient = question.target >= urgent * self.settings.patient_factor;
        let share = if is_patient {
            self.settings.target_share * self.settings.yielding_share
        } else {
            self.settings.target_share
        };
        question.wait <= urgent.mul_f64(share)
    }

    /// Returns how long a request that is not admitted may wait for room, counted from its arrival; then it is refused.
    pub fn queue_time(&self, question: &AdmissionQuestion) -> Duration {
        question.target.mul_f64(self.settings.queue_share)
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
            RefusalCause::ModelAbsent => load_left.unwrap_or(self.settings.absence_pause),
            RefusalCause::NoConfiguration | RefusalCause::NoRunner | RefusalCause::AdapterAbsent => {
                self.settings.absence_pause
            }
        };
        base.mul_f64(1.0 + draw * self.settings.spread)
    }
}
