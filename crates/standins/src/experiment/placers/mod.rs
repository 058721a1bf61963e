//! Placement policies behind one interface, one module each.

mod fixed;
mod gain;
mod on_demand;

use std::{
    fmt::Debug,
    time::{Duration, Instant},
};

pub(super) use self::{fixed::FixedPlacer, gain::GainPlacer, on_demand::OnDemandPlacer};
use super::{
    Deployment,
    engine::{FakeBackend, FakeStore},
};

/// What a placement policy sees.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClusterView<'a> {
    pub(super) now: Instant,
    pub(super) deployment: &'a Deployment,
    pub(super) backends: &'a [FakeBackend],
    pub(super) store: &'a FakeStore,
}

/// An order to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlacementOrder {
    Load { runner: usize, entry: usize },
    Unload { runner: usize, entry: usize },
}

/// A placement policy.
pub(super) trait Placer: Debug + Send {
    /// Counts a request that arrived at a node of a failure domain.
    fn on_arrival(&mut self, _view: ClusterView<'_>, _entry: usize, _domain: usize) -> Vec<PlacementOrder> {
        Vec::new()
    }

    /// Hears that every runner with the weights is full.
    fn on_busy(&mut self, _view: ClusterView<'_>, _entry: usize) -> Vec<PlacementOrder> {
        Vec::new()
    }

    /// Reviews placement, once a second and after each load or unload.
    fn review(&mut self, view: ClusterView<'_>, is_tick: bool) -> Vec<PlacementOrder>;

    /// Returns when weights that nobody holds will be ready, if a load is under way.
    fn expected_ready(&self, _now: Instant, _entry: usize) -> Option<Duration> {
        None
    }
}
