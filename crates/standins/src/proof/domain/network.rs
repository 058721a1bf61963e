//! Messages in transit, delivered in an order drawn from the seed.

use std::collections::BTreeMap;

use mustardgate_core::{ids::FencingNumber, leader::LeaderEvent, log::LogRecord, ports::EngineOrder};

/// Process of a node, to which responses are addressed; a restart replaces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessRef {
    pub(super) node: usize,
    pub(super) session: u64,
}

/// A message between a node's process and an engine or the log; `Event` carries the response.
#[derive(Clone, Debug)]
pub(super) enum NetworkMessage {
    Raise(ProcessRef, usize, FencingNumber),
    Read(ProcessRef, usize, u64),
    Order(ProcessRef, usize, EngineOrder),
    Append(ProcessRef, u64, Box<LogRecord>),
    Event(ProcessRef, Box<LeaderEvent>),
}

/// Messages in transit by time of arrival in milliseconds.
#[derive(Debug, Default)]
pub(super) struct MessageQueue {
    messages: BTreeMap<(u64, u64), NetworkMessage>,
    count: u64,
}

impl MessageQueue {
    pub(super) fn send(&mut self, arrives_ms: u64, message: NetworkMessage) {
        self.count += 1;
        self.messages.insert((arrives_ms, self.count), message);
    }

    pub(super) fn next_due(&mut self, now_ms: u64) -> Option<NetworkMessage> {
        let first = self.messages.first_entry().filter(|first| first.key().0 <= now_ms)?;
        Some(first.remove())
    }
}
