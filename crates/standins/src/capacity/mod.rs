//! What each role costs at the size to design for, from slopes measured on the product's own code.
//!
//! The page is `docs/CAPACITY.md`.

mod design;
mod leading;
mod probe;
mod running;
mod samples;
mod serving;
mod shared;
mod slope;

pub use self::{
    design::{RoleFigure, evaluate_design},
    leading::measure_leading,
    probe::MemoryProbe,
    running::{RunningFigure, RunningReport, measure_running},
    serving::measure_serving,
    shared::measure_shared,
    slope::{MeasuredPoint, MeasuredSlope},
};
