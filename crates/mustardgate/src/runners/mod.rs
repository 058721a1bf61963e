//! What this node knows of the runners: their reports, and which of them hold which weights.

mod board;
mod poll;

pub use self::{
    board::{BoardEntry, RunnerBoard},
    poll::poll_reports,
};
