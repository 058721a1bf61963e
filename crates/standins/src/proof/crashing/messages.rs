//! Messages between the nodes of the simulation.

use std::time::Instant;

use mustardgate_core::relay::{ChangeNumber, CrashDigest, CrashLedger, CrashSummary, PageRequest};

/// Largest number of crashes and quarantines in a message, as between nodes.
pub(super) const MAX_ENTRIES: usize = 48;

/// A digest on its way between two nodes.
#[derive(Debug)]
pub(super) struct SimulatedMessage {
    pub(super) due_at: Instant,
    pub(super) receiver: usize,
    pub(super) sender: usize,
    pub(super) digest: CrashDigest,
    pub(super) content: MessageContent,
}

#[derive(Debug)]
pub(super) enum MessageContent {
    /// A report to the leader, of whose changes the sender has seen those up to the number; the summary is there until it has
    /// been told everything.
    Report(ChangeNumber, Option<CrashSummary>),
    /// News for a node without a leader, which answers with what the summary lacks.
    Exchange(CrashSummary),
    /// The answer of a leader, with the number of the last change in it, and whether none is left.
    LeaderAnswer(ChangeNumber, bool),
    /// The answer of another node.
    NeighbourAnswer,
}

/// Returns the answer to a message, if it wants one.
pub(super) fn answer(
    ledger: &CrashLedger,
    now: Instant,
    content: &MessageContent,
) -> Option<(CrashDigest, MessageContent)> {
    match content {
        MessageContent::Report(seen, known) => {
            let page = ledger.suspect_page(
                now,
                PageRequest {
                    seen: *seen,
                    known: known.as_ref(),
                    own: None,
                    max_entries: MAX_ENTRIES,
                },
            );
            Some((page.digest, MessageContent::LeaderAnswer(page.last, page.is_complete)))
        }
        MessageContent::Exchange(known) => {
            let digest = ledger.missing_page(now, known, MAX_ENTRIES);
            Some((digest, MessageContent::NeighbourAnswer))
        }
        MessageContent::LeaderAnswer(..) | MessageContent::NeighbourAnswer => None,
    }
}
