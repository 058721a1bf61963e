//! Calls with an idempotency key, which are recorded in the platform's log before they are dispatched. See
//! `docs/design/at-most-once.md`.

mod append;
mod coordinator;

pub use self::{
    append::append_batches,
    coordinator::{KeyCoordinator, KeyDecision},
};
