//! A failure domain in simulated time: nodes with the real domain leader, fake engines, a log, and a faulty network.

mod faults;
mod network;
mod node;
mod world;

pub(super) use self::{
    faults::FaultPlan,
    world::{DomainWorld, WorldSettings, declared_runner},
};
