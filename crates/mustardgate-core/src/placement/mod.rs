//! Placement of models and adapters on accelerators.
//!
//! This module defines the interface between the policies, which propose moves, and the leader, which executes them.

pub mod base;
pub mod demand;
pub mod gain;
pub mod share;
mod view;

use std::{fmt::Debug, time::Instant};

pub use self::view::{
    AcceleratorView, ArtifactDemand, BaseAssignment, DomainView, Holding, HoldingState, PlannedMove, RunnerView,
};

/// Proposes moves for one failure domain.
pub trait PlacementPolicy: Debug + Send {
    /// Returns the moves to begin now, the most valuable first; the leader executes those that memory and limits allow.
    fn plan(&mut self, now: Instant, view: &DomainView) -> Vec<PlannedMove>;
}
