//! Waits that end by time, but only after what has arrived was read.

use std::time::Duration;

use tokio::time::{self, Instant, error::Elapsed};

/// Time for which what has arrived is read after the end of a wait.
pub const LAST_READ_TIME: Duration = Duration::from_millis(20);

/// Reads what has arrived by the end of a request's time.
///
/// A process that stood still finds its timers over before it has polled the system, so an answer that has arrived would
/// count as missing.
#[derive(Debug, Default)]
pub struct LastRead {
    ends_at: Option<Instant>,
}

impl LastRead {
    /// Waits for a step of an answer as long as there is time; all steps after its end together have [`LAST_READ_TIME`].
    ///
    /// # Errors
    /// [`Elapsed`] when neither the time nor what has arrived completes the step.
    pub async fn within<F: Future>(&mut self, time_left: Duration, step: F) -> Result<F::Output, Elapsed> {
        let mut step = std::pin::pin!(step);
        if let Ok(output) = time::timeout(time_left, step.as_mut()).await {
            return Ok(output);
        }
        let ends_at = *self.ends_at.get_or_insert_with(|| Instant::now() + LAST_READ_TIME);
        time::timeout_at(ends_at, step).await
    }
}
