//! Inbox of the configuration follower: frames from a feeder, and notice of this node's own appends.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use mustardgate_core::config::FeedFrame;
use tokio::sync::Notify;

/// Maximum number of queued frames; a dropped frame leaves a gap, which makes the follower read the log.
const MAX_QUEUED_FRAMES: usize = 64;

/// Frames queued for the configuration follower, and a flag that makes it read the log after an append.
#[derive(Debug, Default)]
pub struct ConfigInbox {
    frames: Mutex<VecDeque<FeedFrame>>,
    has_appended: AtomicBool,
    arrived: Notify,
}

impl ConfigInbox {
    /// Queues a frame for the follower; drops it if the queue is full.
    pub fn push(&self, frame: FeedFrame) {
        let mut frames = self.frames.lock().expect("no holder panics");
        if frames.len() < MAX_QUEUED_FRAMES {
            frames.push_back(frame);
        }
        drop(frames);
        self.arrived.notify_one();
    }

    /// Makes the follower read the log without waiting, because this node just appended to it or found its end.
    pub fn note_append(&self) {
        self.has_appended.store(true, Ordering::Release);
        self.arrived.notify_one();
    }

    /// Removes and returns the oldest frame.
    pub fn pop(&self) -> Option<FeedFrame> {
        self.frames.lock().expect("no holder panics").pop_front()
    }

    /// Returns whether [`ConfigInbox::note_append`] was called since the last call of this method.
    pub fn take_append(&self) -> bool {
        self.has_appended.swap(false, Ordering::AcqRel)
    }

    /// Waits for a frame or an append; returns at once if one arrived since the last wait.
    pub async fn arrived(&self) {
        self.arrived.notified().await;
    }
}
