//! Pacing of the answers to other nodes.

use std::sync::Mutex;

use metrics::counter;
use mustardgate_core::{
    clock,
    relay::{FeedAllowance, FeedLimits},
};
use tokio::time;

/// Delays or refuses answers to other nodes, so that they leave room on the node's link for callers and runners.
#[derive(Debug)]
pub struct FeedLimiter {
    allowance: Mutex<FeedAllowance>,
}

impl FeedLimiter {
    /// Creates a limiter with a full burst.
    pub fn new(limits: FeedLimits) -> Self {
        Self {
            allowance: Mutex::new(FeedAllowance::new(limits)),
        }
    }

    /// Waits until an answer may be sent; returns `false` if that takes too long, so that the caller reads elsewhere.
    pub(super) async fn admit(&self, bytes: usize) -> bool {
        let reserved = {
            let mut allowance = self.allowance.lock().expect("no holder of the lock panics");
            allowance.reserve(clock::now(), bytes)
        };
        let Some(delay) = reserved else {
            counter!("mustardgate_feed_refusals_total").increment(1);
            return false;
        };
        counter!("mustardgate_feed_bytes_total").increment(bytes as u64);
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        true
    }

    /// Returns whether an answer could be sent by now or soon, before anything is read for it.
    pub(super) fn has_room(&self) -> bool {
        let allowance = self.allowance.lock().expect("no holder of the lock panics");
        let has_room = allowance.has_room(clock::now());
        drop(allowance);
        if !has_room {
            counter!("mustardgate_feed_refusals_total").increment(1);
        }
        has_room
    }
}
