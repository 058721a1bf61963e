//! Expected waiting time at the runners that can answer a request.

use std::time::Duration;

/// Load of the runners that can answer one kind of request, as a node estimates it.
///
/// The outstanding count combines delayed reports with the node's own requests since those reports, so that a burst
/// through this node shows at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Requests that these runners may run concurrently within their limits.
    pub slots: u32,
    /// Requests that they are running or queueing now.
    pub outstanding: u32,
    /// Time for which one request occupies a slot.
    pub hold_time: Duration,
    /// Time from the dispatch to the first token or the answer.
    pub answer_time: Duration,
}

impl PoolLoad {
    /// Returns the expected wait of a request with `ahead` queued requests before it, or `None` without any slot.
    pub fn expected_wait(&self, ahead: usize) -> Option<Duration> {
        if self.slots == 0 {
            return None;
        }
        let position = u64::from(self.outstanding) + ahead as u64 + 1;
        let excess = position.saturating_sub(u64::from(self.slots));
        Some(self.hold_time.mul_f64(excess as f64 / f64::from(self.slots)))
    }

    /// Returns how many requests may be dispatched before every slot is taken.
    pub fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.outstanding)
    }
}
