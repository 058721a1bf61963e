//! Events on virtual time, in order.

use std::{cmp::Reverse, collections::BinaryHeap, time::Instant};

use mustardgate_core::verdict::RunVerdict;

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimEvent {
    /// A request arrives; its index in the list of arrivals.
    Arrive(usize),
    /// A request ends at a backend server.
    Finish { backend: usize, life: u32, job: usize },
    /// An attempt is known to have failed.
    AttemptFailed {
        job: usize,
        is_overload: bool,
        verdict: AttemptVerdict,
    },
    /// Weights have been loaded.
    Loaded { backend: usize, life: u32, entry: usize },
    /// Weights have been removed.
    Unloaded { backend: usize, life: u32, entry: usize },
    /// Load reports are taken at every backend server.
    TakeReports,
    /// Reports taken earlier reach the nodes.
    DeliverReports(usize),
    /// Nodes look for requests whose time has passed.
    NodeTimer { node: usize },
    /// Placement is reviewed.
    PlanPlacement,
    /// A failure domain is lost.
    LoseDomain(usize),
    /// The loss of a failure domain is noticed.
    NoticeLoss(usize),
    /// A failure domain is back, its runners empty.
    RestoreDomain(usize),
}

/// Verdict on an attempt, ordered so that events are.
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

/// Events by time, then by the order in which they were scheduled.
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
