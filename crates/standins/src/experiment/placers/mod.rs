//! Placement policies behind one trait, one module each.

mod gain;
mod on_demand;
mod static_placement;

use std::{
    fmt::Debug,
    time::{Duration, Instant},
};

pub(super) use self::{gain::GainPlacer, on_demand::OnDemandPlacer, static_placement::StaticPlacer};
use super::{
    Deployment,
    engine::{FakeBackend, FakeStore},
};

/// State of the cluster, as a placement policy sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClusterView<'a> {
    pub(super) now: Instant,
    pub(super) deployment: &'a Deployment,
    pub(super) backends: &'a [FakeBackend],
    pub(super) store: &'a FakeStore,
}

/// An order to a runner to load or unload weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlacementOrder {
    Load { runner: usize, entry: usize },
    Unload { runner: usize, entry: usize },
}

/// A placement policy.
pub(super) trait Placer: Debug + Send {
    /// Called when a request arrives at a node of a failure domain; returns orders to execute at once.
    fn on_arrival(&mut self, _view: ClusterView<'_>, _entry: usize, _domain: usize) -> Vec<PlacementOrder> {
        Vec::new()
    }

    /// Called when requests wait because no runner with the weights has a free slot; returns orders to execute at once.
    fn on_busy(&mut self, _view: ClusterView<'_>, _entry: usize) -> Vec<PlacementOrder> {
        Vec::new()
    }

    /// Reviews placement, once a second (`is_periodic`) and after each load or unload; returns orders to execute.
    fn review(&mut self, view: ClusterView<'_>, is_periodic: bool) -> Vec<PlacementOrder>;

    /// Returns the expected time until weights that no runner holds are ready, or `None` if no load of them is pending.
    fn expected_ready(&self, _now: Instant, _entry: usize) -> Option<Duration> {
        None
    }
}
