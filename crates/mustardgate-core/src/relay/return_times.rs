//! Times after which refused callers come back, from the backlog.

use std::time::{Duration, Instant};

/// Part of the time left to a caller within which it waits for a retry.
const USEFUL_PART: u32 = 3;
/// Shortest delay: an earlier retry finds the state that led to the refusal.
const MIN_DELAY: Duration = Duration::from_millis(20);

/// What a refused request waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomForecast {
    /// Time until a runner has room for it.
    pub first_room: Duration,
    /// Whether it can still be served then.
    pub is_in_time: bool,
    /// Time between requests that this node may send after that.
    pub interval: Duration,
}

/// Hands out the room that becomes free to refused callers, one after the other.
///
/// Callers that were refused together and are told the same time come back together, find room for one of them and have used
/// up their retry.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    /// When the next request finds room that was not promised yet.
    next_room_at: Option<Instant>,
}

impl ReturnSchedule {
    /// Returns the delay for a request that is refused, whose caller has so much time left; `draw` is a random number in
    /// 0..1. Room that comes too late for its caller is left to the next one.
    pub fn retry_delay(&mut self, now: Instant, room: &RoomForecast, time_left: Duration, draw: f64) -> Duration {
        let room_at = (now + room.first_room).max(self.next_room_at.unwrap_or(now));
        let delay = room_at.saturating_duration_since(now) + room.interval.mul_f64(draw);
        if delay <= time_left / USEFUL_PART {
            self.next_room_at = Some(room_at + room.interval);
        }
        delay.max(MIN_DELAY)
    }

    /// Returns whether no room is promised.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.next_room_at.is_none_or(|at| at <= now)
    }
}
