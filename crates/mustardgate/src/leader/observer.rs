//! Forwards the log's records to the leader role.

use std::time::Instant;

use mustardgate_core::{ids::Offset, leader::LeaderEvent, ports::LogEntry};
use tokio::sync::mpsc::UnboundedSender;

use crate::records::RecordObserver;

/// Observer that sends the log's records to the task of the leader role.
#[derive(Debug)]
pub struct LeaderObserver {
    sender: UnboundedSender<LeaderEvent>,
}

impl LeaderObserver {
    pub(super) fn new(sender: UnboundedSender<LeaderEvent>) -> Self {
        Self { sender }
    }

    fn send(&self, event: LeaderEvent) {
        // Sending fails only while the node stops.
        drop(self.sender.send(event));
    }
}

impl RecordObserver for LeaderObserver {
    fn on_start(&self, from: Offset, _now: Instant) {
        self.send(LeaderEvent::LogStarted(from));
    }

    fn on_entries(&self, entries: &[LogEntry], _now: Instant) {
        self.send(LeaderEvent::LogRead(entries.to_vec()));
    }

    fn on_bounds(&self, _earliest: Offset, _end: Offset, _now: Instant) {
        self.send(LeaderEvent::LogRead(Vec::new()));
    }

    fn on_gap(&self, earliest: Offset, _now: Instant) {
        self.send(LeaderEvent::LogStarted(earliest));
    }

    fn on_availability(&self, is_unavailable: bool, _now: Instant) {
        if is_unavailable {
            self.send(LeaderEvent::LogUnavailable);
        }
    }
}
