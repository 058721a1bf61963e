//! The budget of buffered bytes of the process, on which everything draws that is held until it forms a whole.
//!
//! The decisions are [`BufferLedger`](mustardgate_core::buffers::BufferLedger)'s.

mod budget;
mod collect;

pub use self::{
    budget::{BufferBudget, BufferGuard, NoRoom},
    collect::{CollectError, collect_bytes, collect_while},
};
