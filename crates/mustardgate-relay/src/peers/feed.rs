//! Pacing of the answers to other nodes.

use std::sync::{Mutex, MutexGuard};

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

/// Limits what this node tells others of crashes, loads and nodes, which can be told in parts and later.
///
/// Without a limit the first answers of a new leader to all nodes, and exchanges between nodes without one, fill a narrow
/// link, and the node's own reads of the log wait; see `docs/CAPACITY.md`, "Messages between nodes".
#[derive(Debug)]
pub struct KnowledgeLimiter {
    allowance: Mutex<FeedAllowance>,
}

impl KnowledgeLimiter {
    /// Creates a limiter with a full burst.
    pub fn new(limits: FeedLimits) -> Self {
        Self {
            allowance: Mutex::new(FeedAllowance::new(limits)),
        }
    }

    /// Returns how many bytes the next message may have beside what it needs.
    pub(super) fn room(&self) -> usize {
        self.lock().room(clock::now())
    }

    /// Counts what is sent beside what a message needs.
    pub(super) fn record_sent(&self, bytes: usize) {
        self.lock().spend(clock::now(), bytes);
    }

    fn lock(&self) -> MutexGuard<'_, FeedAllowance> {
        self.allowance.lock().expect("no holder of the lock panics")
    }
}
