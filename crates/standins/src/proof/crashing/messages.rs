//! Messages between the nodes of the simulation.

use std::time::Instant;

use mustardgate_core::relay::{ChangeNumber, CrashDigest};

/// A digest on its way between two nodes.
#[derive(Debug)]
pub(super) struct SimulatedMessage {
    pub(super) due_at: Instant,
    pub(super) receiver: usize,
    pub(super) sender: usize,
    pub(super) digest: CrashDigest,
    pub(super) content: MessageContent,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum MessageContent {
    /// The receiver answers with what it knows. Of a leader's changes the sender has seen those up to the number.
    Report(ChangeNumber),
    /// The answer of a leader, with the number of its newest change, or of another node.
    Answer(Option<ChangeNumber>),
}
