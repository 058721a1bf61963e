//! Pace of the reports that a node makes between its regular ones because a runner crashed.

use std::time::{Duration, Instant};

/// Time after a crash in which further ones are put into the same report.
const BATCH_PAUSE: Duration = Duration::from_millis(20);

/// Reports a second that all nodes together make between their regular ones, whatever their number.
const EXTRA_REPORTS_PER_S: u32 = 200;

/// Longest time for which a crash waits for the leader's next turn: a node reports that often in any case.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(700);

/// Shortest time between two exchanges of a node that reaches no leader, each of which goes to several others.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Decides when a crash is reported.
///
/// The leader of many nodes receives the reports of all of them, and crashes come in waves that all nodes see at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportPace {
    reported_at: Option<Instant>,
}

impl ReportPace {
    /// Records a report, whatever its reason.
    pub fn record_report(&mut self, now: Instant) {
        self.reported_at = Some(now);
    }

    /// Returns the time until a crash may be reported, to the leader of `nodes` nodes or, without one, to neighbours.
    pub fn crash_delay(&self, now: Instant, nodes: u32, is_led: bool) -> Duration {
        let interval = if is_led {
            (Duration::from_secs(1) * nodes / EXTRA_REPORTS_PER_S).min(MAX_REPORT_DELAY)
        } else {
            EXCHANGE_INTERVAL
        };
        let elapsed = self.reported_at.map(|at| now.saturating_duration_since(at));
        let left = elapsed.map_or(Duration::ZERO, |elapsed| interval.saturating_sub(elapsed));
        left.max(BATCH_PAUSE)
    }
}
