//! Messages under way, delivered in an order drawn from the seed.

use std::collections::BTreeMap;

use mustardgate_core::{ids::FencingNumber, leader::LeaderEvent, log::LogRecord, ports::EngineOrder};

/// Who gets the answer: a process of a node, which a restart replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessRef {
    pub(super) node: usize,
    pub(super) session: u64,
}

/// One message.
#[derive(Clone, Debug)]
pub(super) enum Delivery {
    Raise(ProcessRef, usize, FencingNumber),
    Read(ProcessRef, usize, u64),
    Order(ProcessRef, usize, EngineOrder),
    Append(ProcessRef, u64, Box<LogRecord>),
    Event(ProcessRef, Box<LeaderEvent>),
}

/// Messages under way by time of arrival in milliseconds.
#[derive(Debug, Default)]
pub(super) struct MessageQueue {
    messages: BTreeMap<(u64, u64), Delivery>,
    count: u64,
}

impl MessageQueue {
    pub(super) fn send(&mut self, arrives_ms: u64, delivery: Delivery) {
        self.count += 1;
        self.messages.insert((arrives_ms, self.count), delivery);
    }

    pub(super) fn next_due(&mut self, now_ms: u64) -> Option<Delivery> {
        let first = self.messages.first_entry().filter(|first| first.key().0 <= now_ms)?;
        Some(first.remove())
    }
}
