//! The memory ledger of each accelerator.
//!
//! Memory counts as committed from the moment an order is proposed until the engine reports the order settled. No
//! timeout releases it. See `docs/design/leader.md`.

mod intents;
mod memory;

pub use self::{
    intents::OpenIntents,
    memory::{LedgerTotals, LedgerViolation, MemoryLedger, OpenOrder},
};
