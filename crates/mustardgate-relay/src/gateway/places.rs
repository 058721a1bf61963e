//! Places at brittle runners, which fall over when they turn too many requests away.

use std::{sync::Arc, time::Duration};

use mustardgate_core::clock;

use super::attempt::ReceivedRequest;
use crate::{
    context::{PlaceMap, RelayContext},
    fleet::RunnerCell,
};

/// Time for which no node sends to a brittle runner that turned a request away.
pub(crate) const REJECTION_PAUSE: Duration = Duration::from_secs(1);

impl ReceivedRequest {
    /// Returns the requests that this node may have at each runner at once, if the service's runners are brittle.
    pub(super) fn places(&self) -> Option<Arc<PlaceMap>> {
        let context = &self.context;
        context
            .brittle
            .places(&context.fleet, &context.directory, &self.service)
    }

    /// Returns whether the request, which counts as begun already, has a place at the runner.
    pub(super) fn has_place(&self, cell: &RunnerCell) -> bool {
        let places = self.places();
        let own = places.map(|places| places.get(&cell.listed().id).copied().unwrap_or_default());
        own.is_none_or(|own| cell.in_flight() <= own)
    }
}

impl RelayContext {
    /// Keeps this node and others away from a runner that turned a request away, if it is brittle.
    pub(crate) fn record_rejection(&self, cell: &RunnerCell) {
        let listed = cell.listed();
        if self.brittle.is_brittle(&listed.service) {
            cell.hold(clock::now() + REJECTION_PAUSE);
            self.brittle.record_rejection(&listed);
        }
    }
}
