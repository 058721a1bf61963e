//! The memory ledger of each accelerator.
//!
//! Memory counts as committed from the moment an order is proposed until the engine reports the order settled. Time
//! releases nothing. See `docs/design/leader.md`.

mod intents;
mod memory;

pub use self::{
    intents::IntentBook,
    memory::{LedgerTotals, LedgerViolation, MemoryLedger, OpenOrder},
};
