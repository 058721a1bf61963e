//! The runners known to this node, with what it has observed of each.

mod cell;
mod directory;
mod selection;

pub use self::{
    cell::{AttemptOutcome, RunnerCell, RunnerTicket},
    directory::RunnerFleet,
    selection::{RunnerPick, SelectionError, SelectionQuery},
};
