//! What this node knows of the runners: their reports, and which of them hold which weights.

mod board;
mod demand;
mod exchange;
mod poll;
mod reports;

pub use self::{
    board::{BoardEntry, RunnerBoard},
    demand::DemandCounter,
    exchange::{exchange_reports, take_frame},
    poll::{poll_reports, take_declarations, take_report},
    reports::ReportDesk,
};
