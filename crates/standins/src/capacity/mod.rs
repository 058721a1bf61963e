//! Costs of each role at the design size, extrapolated from slopes measured on the product's own code.
//!
//! See `docs/CAPACITY.md` for the figures.

mod deployment;
mod design;
mod leader;
mod probe;
mod samples;
mod serving;
mod shared;
mod slope;

pub use self::{
    deployment::{DeploymentFigure, DeploymentReport, measure_deployment},
    design::{RoleFigure, evaluate_design},
    leader::measure_leader,
    probe::MemoryProbe,
    serving::measure_serving,
    shared::measure_shared,
    slope::{MeasuredPoint, MeasuredSlope},
};
