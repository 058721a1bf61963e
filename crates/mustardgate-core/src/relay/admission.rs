//! When a refused caller should come back.

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
