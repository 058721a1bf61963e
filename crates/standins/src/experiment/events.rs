//! Events on virtual time and their queue.

use std::{cmp::Reverse, collections::BinaryHeap, time::Instant};

use mustardgate_core::verdict::RunVerdict;

/// An event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimEvent {
    /// A request arrives; holds its index in the list of arrivals.
    Arrive(usize),
    /// A request finishes at a backend server.
    Finish {
        backend: usize,
        incarnation: u32,
        job: usize,
    },
    /// A node learns that an attempt has failed.
    AttemptFailed {
        job: usize,
        is_overload: bool,
        verdict: AttemptVerdict,
    },
    /// Weights have been loaded.
    Loaded {
        backend: usize,
        incarnation: u32,
        entry: usize,
    },
    /// Weights have been unloaded.
    Unloaded {
        backend: usize,
        incarnation: u32,
        entry: usize,
    },
    /// Every backend server measures its load for a report.
    TakeReports,
    /// Reports measured earlier reach the nodes; holds the index of their snapshot.
    DeliverReports(usize),
    /// A node removes expired requests from its queue.
    NodeTimer { node: usize },
    /// Placement is reviewed.
    PlanPlacement,
    /// A failure domain is lost.
    LoseDomain(usize),
    /// The nodes detect the loss of a failure domain.
    DetectLoss(usize),
    /// A failure domain comes back, its runners empty.
    RestoreDomain(usize),
}

/// Run verdict on a failed attempt, with an order because [`SimEvent`] needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum AttemptVerdict {
    NotRun,
    MayHaveRun,
}

impl From<AttemptVerdict> for RunVerdict {
    fn from(verdict: AttemptVerdict) -> Self {
        match verdict {
            AttemptVerdict::NotRun => Self::NotRun,
            AttemptVerdict::MayHaveRun => Self::MayHaveRun,
        }
    }
}

/// Events, ordered by time and then by the order in which they were scheduled.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Instant, u64, SimEvent)>>,
    sequence: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Instant, event: SimEvent) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, event)));
    }

    pub(super) fn next(&mut self) -> Option<(Instant, SimEvent)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
