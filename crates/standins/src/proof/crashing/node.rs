//! A node of the simulation.

use std::{collections::BTreeMap, time::Instant};

use mustardgate_core::relay::{ChangeNumber, CrashDigest, CrashLedger, CrashReportCursor};

use super::messages::{MAX_ENTRIES, MessageContent};

#[derive(Debug)]
pub(super) struct SimulatedNode {
    pub(super) ledger: CrashLedger,
    pub(super) next_report: Instant,
    /// Whether other nodes and the leader reach it, and since when.
    pub(super) is_cut: bool,
    pub(super) in_touch_since: Instant,
    /// The last change that each leader told, and whether none was left.
    pub(super) seen: BTreeMap<usize, (ChangeNumber, bool)>,
    /// What each leader was told.
    pub(super) told: BTreeMap<usize, CrashReportCursor>,
    /// The last change that was told to nodes without a leader, or known while there was one.
    pub(super) pushed: ChangeNumber,
}

impl SimulatedNode {
    /// Returns a report to a leader.
    pub(super) fn report_to(&mut self, leader: usize, now: Instant) -> (CrashDigest, MessageContent) {
        let cursor = self.told.entry(leader).or_default();
        let (digest, next) = self.ledger.report(now, cursor, MAX_ENTRIES);
        *cursor = next;
        let (seen, is_complete) = self.seen.get(&leader).copied().unwrap_or_default();
        let known = (!is_complete).then(|| self.ledger.suspect_summary(now));
        (digest, MessageContent::Report(seen, known))
    }
}
