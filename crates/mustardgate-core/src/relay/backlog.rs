//! Estimate of the time to the first token of a request sent to a runner now.

use std::time::{Duration, Instant};

/// Time over which the weight of a finished wait falls linearly to zero.
const SAMPLE_DECAY_TIME: Duration = Duration::from_millis(1_500);

/// Estimates a runner's backlog from the waits of this node's own requests.
///
/// The oldest request that is still waiting shows the current backlog without lag; the last one that finished waiting
/// shows what it was when it ended. Reported loads cannot show it: they count requests in decode together with those
/// whose prompts are still to be processed.
#[derive(Clone, Debug, Default)]
pub struct BacklogEstimate {
    /// Number and send time of each request that waits for its first token, oldest first.
    waiting: Vec<(u64, Instant)>,
    next_number: u64,
    /// Length of the last finished wait, and when it ended.
    last_wait: Option<(Duration, Instant)>,
}

impl BacklogEstimate {
    /// Records that a request is sent, and returns the number that identifies its wait.
    pub fn begin(&mut self, now: Instant) -> u64 {
        self.next_number += 1;
        self.waiting.push((self.next_number, now));
        self.next_number
    }

    /// Ends the wait of a request that got its first token or was abandoned.
    pub fn end(&mut self, now: Instant, number: u64) {
        let Some(position) = self.waiting.iter().position(|(waiting, _)| *waiting == number) else {
            return;
        };
        let (_, sent_at) = self.waiting.remove(position);
        self.last_wait = Some((now.saturating_duration_since(sent_at), now));
    }

    /// Discards the wait of a request that the runner did not accept, since it says nothing about the backlog.
    pub fn discard(&mut self, number: u64) {
        self.waiting.retain(|(waiting, _)| *waiting != number);
    }

    /// Returns the number of requests that wait for their first token.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the expected time to the first token.
    pub fn expected(&self, now: Instant) -> Duration {
        let oldest = self
            .waiting
            .first()
            .map(|(_, sent_at)| now.saturating_duration_since(*sent_at));
        let decayed = self.last_wait.map(|(wait, at)| {
            let age_s = now.saturating_duration_since(at).as_secs_f64();
            wait.mul_f64((1.0 - age_s / SAMPLE_DECAY_TIME.as_secs_f64()).max(0.0))
        });
        oldest.unwrap_or_default().max(decayed.unwrap_or_default())
    }
}
