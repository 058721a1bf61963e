//! A failure domain in simulated time: nodes with the production leader, stand-in engines, a log, and a faulty network.

mod faults;
mod network;
mod node;
mod simulation;

pub(super) use self::{
    faults::FaultPlan,
    simulation::{DomainSimulation, SimulationSettings, declared_runner},
};
