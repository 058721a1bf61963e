//! Refusals, which tell a caller that its request was not run, why, and when to retry.

use std::time::Duration;

use derive_more::Display;

use super::QueuedRequest;
use crate::verdict::RunVerdict;

/// What the caller of a refused request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Always [`RunVerdict::NotRun`] for requests refused by admission, because none was dispatched.
    pub verdict: RunVerdict,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
    /// Why the request was refused.
    pub reason: RefusalReason,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The expected wait exceeds the time left.
    #[display("deadline_infeasible")]
    DeadlineInfeasible,
    /// The queue is full and holds nothing that may be shed for this request.
    #[display("queue_full")]
    QueueFull,
    /// The request was shed: for a more urgent one, for one of a tenant with a smaller backlog, or because its deadline
    /// can no longer be met after a change of load.
    #[display("shed")]
    Shed,
    /// The request can no longer be answered in time.
    #[display("expired")]
    Expired,
    /// No runner that could answer is known.
    #[display("no_capacity")]
    NoCapacity,
}

/// A request that left the queue without being dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedRequest {
    /// The request.
    pub request: QueuedRequest,
    /// What its caller is told.
    pub refusal: Refusal,
}
