//! Runner reports: read from engines, exchanged with other nodes, and indexed by the weights that the runners serve.

mod demand;
mod exchange;
mod poll;
mod reports;
mod table;

pub use self::{
    demand::DemandCounter,
    exchange::{apply_frame, exchange_reports},
    poll::{apply_declarations, apply_report, poll_reports},
    reports::RunnerReports,
    table::{RunnerEntry, RunnerTable},
};
