//! What this node knows of the runners: their reports, and which of them hold which weights.

mod board;
mod demand;
mod poll;

pub use self::{
    board::{BoardEntry, RunnerBoard},
    demand::DemandCounter,
    poll::{poll_reports, take_declarations, take_report},
};
