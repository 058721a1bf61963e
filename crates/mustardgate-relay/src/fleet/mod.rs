//! The runners that this node knows, with what it has learnt of each.

mod cell;
mod directory;
mod selection;

pub use self::{
    cell::{AttemptEnd, RunnerCell, RunnerTicket},
    directory::RunnerFleet,
    selection::{RunnerPick, SelectionError, SelectionQuery},
};
