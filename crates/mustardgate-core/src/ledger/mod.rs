//! The memory ledger of each accelerator.
