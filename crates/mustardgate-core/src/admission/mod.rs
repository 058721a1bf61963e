//! Admission and queueing of requests at one node.
//!
//! A request is admitted only when its deadline can be met at the currently known load; otherwise it is refused at once
//! with a time after which to retry. See `docs/design/routing.md`.

mod lane;
mod load;
mod queue;
mod refusal;
mod request;
mod usage;

pub use self::{
    load::PoolLoad,
    queue::AdmissionQueue,
    refusal::{Refusal, RefusalReason, RefusedRequest},
    request::{AdmissionLimits, AdmissionOutcome, PoolId, QueueViolation, QueuedRequest},
};
