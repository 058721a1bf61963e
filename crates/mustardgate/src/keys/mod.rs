//! Keyed calls: recorded in the platform's log before they are dispatched. See `docs/design/at-most-once.md`.

mod append;
mod desk;

pub use self::{
    append::append_batches,
    desk::{KeyDecision, KeyDesk},
};
