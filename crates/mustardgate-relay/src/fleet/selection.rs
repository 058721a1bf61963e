//! Selection of a runner for one request from the fleet.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::{BackendId, ServiceId},
    relay::{Candidate, RefusalCause, RelayRequest, RunnerSelector, VersionTag},
};
use rand::Rng;
use snafu::Snafu;

use super::{
    RunnerCell, RunnerFleet,
    forecasts::{CapacityShortage, ForecastBasis, ForecastQuery},
};
use crate::context::PlaceMap;

/// The request for which a runner is selected.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    /// Service of the route.
    pub service: &'a ServiceId,
    /// The request.
    pub request: &'a RelayRequest,
    /// Runners that were already tried.
    pub excluded: &'a [BackendId],
    /// Software version that began the stream, if the request goes on with one.
    pub version: Option<VersionTag>,
    /// Whether a stream begins that may have to go on at another runner of its version.
    pub may_be_resumed: bool,
    /// Requests that this node may have at each runner at once, if the runners are brittle.
    pub places: Option<&'a PlaceMap>,
    /// What the request needs, if it is admitted by forecasts where the load of runners is known.
    pub forecast: Option<&'a ForecastQuery>,
}

impl SelectionQuery<'_> {
    /// Returns whether this node may send one more request to a runner at which it has `in_flight`.
    fn has_place(&self, runner: &BackendId, in_flight: u32) -> bool {
        let places = self
            .places
            .map(|places| places.get(runner).copied().unwrap_or_default());
        places.is_none_or(|places| in_flight < places)
    }
}

/// A selected runner with the state on which the selection is based.
#[derive(Clone, Debug)]
pub struct RunnerPick {
    /// The runner.
    pub cell: Arc<RunnerCell>,
    /// State of the runner at the time of the selection.
    pub candidate: Candidate,
    /// What its admission is based on, if it was admitted by a forecast.
    pub basis: Option<ForecastBasis>,
}

/// No runner can be selected.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
#[snafu(display("{cause}"))]
pub struct SelectionError {
    /// Cause of the refusal.
    pub cause: RefusalCause,
    /// Time after which a runner that holds the model accepts requests again, if one asked for such a time.
    pub retry_after: Option<Duration>,
    /// What is known of the lack of capacity, if forecasts at the runners showed it.
    pub shortage: Option<CapacityShortage>,
}

impl RunnerFleet {
    /// Selects a runner.
    ///
    /// # Errors
    /// [`SelectionError`] when no runner can answer the request.
    pub fn select(&self, now: Instant, query: &SelectionQuery<'_>) -> Result<RunnerPick, SelectionError> {
        let in_service: Vec<Arc<RunnerCell>> = self
            .of_service(query.service)
            .into_iter()
            .filter(|cell| cell.is_in_service())
            .filter(|cell| query.version.is_none_or(|version| cell.version_tag() == version))
            .collect();
        if in_service.is_empty() {
            return Err(SelectionError {
                cause: match query.version {
                    Some(_) => RefusalCause::StreamVersionAbsent,
                    None => RefusalCause::NoRunner,
                },
                retry_after: None,
                shortage: None,
            });
        }
        let is_paced = in_service.iter().any(|cell| cell.shared_load.is_paced());
        let (held, usable): (Vec<_>, Vec<_>) = in_service.into_iter().partition(|cell| cell.hold_left(now).is_some());
        let has_place = |cell: &RunnerCell| query.has_place(&cell.listed().id, cell.in_flight());
        let (usable, full): (Vec<_>, Vec<_>) = usable.into_iter().partition(|cell| has_place(cell));
        let holders: Vec<(Arc<RunnerCell>, Candidate)> = usable
            .into_iter()
            .filter(|cell| !query.excluded.contains(&cell.listed().id))
            .filter_map(|cell| {
                self.candidate(now, &cell, query, is_paced)
                    .map(|candidate| (cell, candidate))
            })
            .collect();
        let holders = match query.forecast {
            Some(forecast) if is_paced => forecast.admitting(now, holders).map_err(|shortage| SelectionError {
                cause: RefusalCause::Overloaded,
                retry_after: None,
                shortage: Some(shortage),
            })?,
            _ => holders,
        };
        let candidates: Vec<Candidate> = holders.iter().map(|(_, candidate)| *candidate).collect();
        let mut rng = rand::rng();
        let selected = RunnerSelector::default().select(&candidates, || rng.random());
        let Some(holder) = selected.and_then(|index| holders.into_iter().nth(index)) else {
            let holders = held
                .iter()
                .filter(|cell| self.candidate(now, cell, query, is_paced).is_some());
            let retry_after = holders.filter_map(|cell| cell.hold_left(now)).min();
            let is_full = full
                .iter()
                .any(|cell| self.candidate(now, cell, query, is_paced).is_some());
            let cause = match retry_after {
                Some(_) => RefusalCause::Overloaded,
                None if is_full => RefusalCause::Overloaded,
                None if query.excluded.is_empty() => RefusalCause::ModelAbsent,
                None => RefusalCause::AttemptsUsedUp,
            };
            return Err(SelectionError {
                cause,
                retry_after,
                shortage: None,
            });
        };
        let basis = query.forecast.and_then(|forecast| forecast.basis(&holder));
        let (cell, candidate) = holder;
        Ok(RunnerPick { cell, candidate, basis })
    }

    /// Returns the state of a runner that holds the model; `is_paced` says that runners of its service state their pace.
    fn candidate(
        &self,
        now: Instant,
        cell: &RunnerCell,
        query: &SelectionQuery<'_>,
        is_paced: bool,
    ) -> Option<Candidate> {
        let request = query.request;
        let (has_model, has_adapter) = match &request.model {
            Some(name) => cell.holds(now, name),
            None => (true, true),
        };
        if !has_model {
            return None;
        }
        let listed = cell.listed();
        let (load, failure_ratio, is_in_cooldown) = cell.health(now);
        let shared = is_paced.then(|| cell.shared_load.view(now)).flatten();
        Some(Candidate {
            load,
            wait: cell.expected_wait(now),
            uncached_share: if request.parts.is_empty() {
                0.0
            } else {
                cell.uncached_share(request)
            },
            lacks_adapter: !has_adapter,
            is_remote: listed.domain != self.own_domain,
            failure_ratio,
            is_in_cooldown,
            version: query.may_be_resumed.then(|| cell.version_tag()),
            shared,
        })
    }
}
