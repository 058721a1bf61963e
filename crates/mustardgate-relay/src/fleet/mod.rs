//! The runners known to this node, with what it has observed of each.

mod cell;
mod forecasts;
mod loads;
mod retired;
mod runners;
mod selection;
mod spill;

pub use self::{
    cell::{AttemptOutcome, RunnerCell, RunnerTicket},
    forecasts::{CapacityShortage, ForecastBasis, ForecastQuery},
    loads::SharedCellLoad,
    runners::RunnerFleet,
    selection::{RunnerPick, SelectionError, SelectionQuery},
};
