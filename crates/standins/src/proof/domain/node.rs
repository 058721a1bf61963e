//! One node of the simulated domain: the production leader and its position in the log.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::Offset,
    leader::{DomainLeader, LeaderAction, LeaderEvent, LeaderSettings},
    lease::LeaseSettings,
    ports::ReadError,
};
use smol_str::format_smolstr;

use super::network::ProcessRef;
use crate::platform::MemoryLog;

const PAGE_LIMIT: usize = 64;
const LEASE_TERM: Duration = Duration::from_secs(3);
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// A node's process with its clock, its position in the log, and pending events.
#[derive(Debug)]
pub(super) struct SimulatedNode {
    pub(super) leader: DomainLeader,
    pub(super) process: ProcessRef,
    pub(super) paused_until_ms: u64,
    /// Total time for which the clock stood still while the node was suspended.
    pub(super) clock_lag_ms: u64,
    cursor: Option<Offset>,
    /// Events that arrived during a pause.
    pub(super) inbox: Vec<LeaderEvent>,
}

impl SimulatedNode {
    pub(super) fn start(node: usize, session: u64) -> Self {
        let lease = LeaseSettings {
            domain: "d1".into(),
            node: format_smolstr!("n{node}"),
            session,
            term: LEASE_TERM,
            margin: LEASE_MARGIN,
        };
        let settings = LeaderSettings {
            lease,
            address: node as u64 + 1,
            read_interval: Duration::from_millis(400),
            retry_interval: Duration::from_secs(1),
            report_freshness: Duration::from_secs(3),
            append_interval: Duration::from_millis(100),
            checkpoint_interval: Duration::from_secs(8),
        };
        Self {
            leader: DomainLeader::new(settings),
            process: ProcessRef { node, session },
            paused_until_ms: 0,
            clock_lag_ms: 0,
            cursor: None,
            inbox: Vec::new(),
        }
    }

    pub(super) fn handle(&mut self, epoch: Instant, now_ms: u64, event: LeaderEvent) -> Vec<LeaderAction> {
        self.leader.handle(self.clock(epoch, now_ms), event)
    }

    pub(super) fn clock(&self, epoch: Instant, now_ms: u64) -> Instant {
        epoch + Duration::from_millis(now_ms - self.clock_lag_ms)
    }

    /// Reads one page of the log and returns the events for the leader.
    pub(super) fn follow(&mut self, log: &MemoryLog) -> Vec<LeaderEvent> {
        let from = self.cursor.unwrap_or(0);
        match log.read_now(from, PAGE_LIMIT) {
            Ok(page) => {
                let mut events = Vec::new();
                if self.cursor.is_none() {
                    events.push(LeaderEvent::LogStarted(from));
                }
                self.cursor = Some(page.entries.last().map_or(from, |last| last.offset + 1));
                events.push(LeaderEvent::LogRead(page.entries));
                events
            }
            Err(ReadError::Trimmed { earliest }) => {
                self.cursor = Some(earliest);
                vec![LeaderEvent::LogStarted(earliest)]
            }
            Err(ReadError::Unavailable) => vec![LeaderEvent::LogUnavailable],
        }
    }
}
