//! How long a request sent to a runner now would wait for its first word.

use std::time::{Duration, Instant};

/// Time over which a finished wait loses its weight.
const SAMPLE_MEMORY: Duration = Duration::from_millis(1_500);

/// Waits of this node's requests at one runner.
///
/// The oldest request that still waits tells the present backlog without any lag; one that was answered tells what it was
/// a moment ago. Reported loads cannot: they count requests that only generate beside those whose prompts are unread.
#[derive(Clone, Debug, Default)]
pub struct BacklogFigure {
    /// When each request that waits for its first word was sent, with its number.
    waiting: Vec<(u64, Instant)>,
    next_number: u64,
    last: Option<(Duration, Instant)>,
}

impl BacklogFigure {
    /// Notes that a request goes out, and returns the number under which it waits.
    pub fn begin(&mut self, now: Instant) -> u64 {
        self.next_number += 1;
        self.waiting.push((self.next_number, now));
        self.next_number
    }

    /// Notes that a request had its first word, or was given up on after waiting.
    pub fn end(&mut self, now: Instant, number: u64) {
        let Some(position) = self.waiting.iter().position(|(waiting, _)| *waiting == number) else {
            return;
        };
        let (_, sent_at) = self.waiting.remove(position);
        self.last = Some((now.saturating_duration_since(sent_at), now));
    }

    /// Forgets a request that the runner did not take, which says nothing about its backlog.
    pub fn forget(&mut self, number: u64) {
        self.waiting.retain(|(waiting, _)| *waiting != number);
    }

    /// Returns the expected wait.
    pub fn expected(&self, now: Instant) -> Duration {
        let oldest = self
            .waiting
            .first()
            .map(|(_, sent_at)| now.saturating_duration_since(*sent_at));
        let faded = self.last.map(|(wait, at)| {
            let age_s = now.saturating_duration_since(at).as_secs_f64();
            wait.mul_f64((1.0 - age_s / SAMPLE_MEMORY.as_secs_f64()).max(0.0))
        });
        oldest.unwrap_or_default().max(faded.unwrap_or_default())
    }
}
