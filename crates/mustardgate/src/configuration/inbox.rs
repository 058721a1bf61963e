//! What wakes the follower of the configuration: frames of a feeder, and appends of this node.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use mustardgate_core::config::FeedFrame;
use tokio::sync::Notify;

/// Frames that may wait; a frame that is dropped leaves a gap, which sends the follower to the log.
const MAX_WAITING_FRAMES: usize = 64;

/// Frames of a feeder that wait for the follower, and its wake-up after an append of this node.
#[derive(Debug, Default)]
pub struct ConfigInbox {
    frames: Mutex<VecDeque<FeedFrame>>,
    has_appended: AtomicBool,
    arrived: Notify,
}

impl ConfigInbox {
    /// Hands a frame to the follower.
    pub fn push(&self, frame: FeedFrame) {
        let mut frames = self.frames.lock().expect("no holder panics");
        if frames.len() < MAX_WAITING_FRAMES {
            frames.push_back(frame);
        }
        drop(frames);
        self.arrived.notify_one();
    }

    /// Has the follower read the log at once, because this node has just appended to it.
    pub fn note_append(&self) {
        self.has_appended.store(true, Ordering::Release);
        self.arrived.notify_one();
    }

    /// Returns the next frame.
    pub fn pop(&self) -> Option<FeedFrame> {
        self.frames.lock().expect("no holder panics").pop_front()
    }

    /// Returns whether this node has appended since the last call.
    pub fn take_append(&self) -> bool {
        self.has_appended.swap(false, Ordering::AcqRel)
    }

    /// Waits until something arrives; what arrived since the last wait counts.
    pub async fn arrived(&self) {
        self.arrived.notified().await;
    }
}
