//! The command line of operators and experimenters; see `docs/MUSTARDCTL.md`.

pub mod cli;
pub mod client;
pub mod commands;
pub mod declarations;
pub mod load;
pub mod output;
pub mod trace;
