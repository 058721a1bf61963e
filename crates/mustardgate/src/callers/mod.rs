//! Requests of callers that are not whole yet, and which of them give way.
//!
//! The decisions are [`UnfinishedBodies`](mustardgate_core::buffers::UnfinishedBodies)'s; see
//! `docs/design/untrusted-callers.md`.

mod slots;

pub use self::slots::{CallerSlot, CallerSlots, EndedRequests, ReceivedBody, SharedRoom};
