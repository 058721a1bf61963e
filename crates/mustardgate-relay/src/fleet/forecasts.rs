//! Admission of a request at the runners of a paced service, by its forecast at each.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use mustardgate_core::relay::{
    AdmissionVerdict, BatchLoad, Candidate, EngineMeasurements, LocalLoad, RequestNeed, RequestWork, RoomForecast,
    StreamGate, release_rate,
};

use super::RunnerCell;

/// Age of a view of a runner's load above which it says too little for a forecast.
const MAX_VIEW_AGE: Duration = Duration::from_secs(3);
/// Number of runners, those with the fewest requests, for which the time until they have room is computed.
const MAX_ROOM_RUNNERS: usize = 8;

/// A runner that holds the model of a request, with its state.
pub(super) type HolderState = (Arc<RunnerCell>, Candidate);

/// What the forecasts of one request are based on.
#[derive(Clone, Copy, Debug)]
pub struct ForecastQuery {
    /// What the request needs; its prompt counts as wholly uncached.
    pub need: RequestNeed,
    /// What this node has measured of the service.
    pub measured: EngineMeasurements,
    /// Slots and KV cache of its runners by the configuration; 0 if unknown.
    pub slots: u32,
    /// Capacity of a runner's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Whether the prompt names parts, by which its uncached share is known.
    pub has_parts: bool,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Number of nodes that send to the runners.
    pub nodes: u32,
    /// Requests a second that other nodes send to each runner of the service, if they do as this one.
    pub others_per_s: f64,
}

/// State of a runner on which the admission of a request was based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForecastBasis {
    /// Load of the runner.
    pub load: BatchLoad,
    /// Work of the request there.
    pub work: RequestWork,
}

/// No runner takes a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityShortage {
    /// Best verdict of a runner.
    pub verdict: AdmissionVerdict,
    /// Expected time of the whole answer at the runner where it would end first.
    pub end: Duration,
    /// The same if the runners were idle.
    pub idle_end: Duration,
    /// When there will be room for the request, if that was measured.
    pub room: Option<RoomForecast>,
}

impl ForecastQuery {
    /// Returns what the admission of the request at a runner is based on, if its load is known well enough.
    pub(super) fn basis(&self, holder: &HolderState) -> Option<ForecastBasis> {
        Some(ForecastBasis {
            load: self.load(holder)?,
            work: self.work(&holder.1),
        })
    }

    fn load(&self, (cell, candidate): &HolderState) -> Option<BatchLoad> {
        let mut view = candidate.shared.filter(|view| view.age <= MAX_VIEW_AGE)?;
        if view.slots < 1.0 {
            view.slots = f64::from(self.slots.max(1));
        }
        let local = LocalLoad {
            unanswered: cell.unanswered() as u32,
            wait: candidate.wait,
            others_per_s: self.others_per_s,
            kv_tokens: self.kv_tokens,
            reads_prompts: self.is_stream,
        };
        Some(BatchLoad::expected(&view, &local, &self.measured))
    }

    /// Returns the work of the request at a runner.
    fn work(&self, candidate: &Candidate) -> RequestWork {
        let uncached_share = if self.has_parts { candidate.uncached_share } else { 1.0 };
        RequestWork {
            prompt_tokens: self.need.work.prompt_tokens * uncached_share,
            ..self.need.work
        }
    }

    fn need(&self, candidate: &Candidate) -> RequestNeed {
        RequestNeed {
            work: self.work(candidate),
            ..self.need
        }
    }

    /// Keeps the runners that take the request, and those of which too little is known; runners in a cooldown only if there
    /// are no others. Without forecasts all are kept.
    ///
    /// # Errors
    /// [`CapacityShortage`] when none is left.
    pub(super) fn admitting(
        &self,
        now: Instant,
        holders: Vec<HolderState>,
    ) -> Result<Vec<HolderState>, CapacityShortage> {
        let gate = StreamGate {
            measured: &self.measured,
            now,
        };
        let is_fit = holders.iter().any(|(_, candidate)| !candidate.is_in_cooldown);
        let holders: Vec<HolderState> = holders
            .into_iter()
            .filter(|(_, candidate)| !is_fit || !candidate.is_in_cooldown)
            .collect();
        let verdict = |holder: &HolderState| {
            let candidate = &holder.1;
            let load = self.load(holder);
            load.map_or(AdmissionVerdict::Admitted, |load| {
                gate.judge(&load, &self.need(candidate))
            })
        };
        let mut best = None;
        let (admitting, others): (Vec<_>, Vec<_>) = holders.into_iter().partition(|holder| {
            let verdict = verdict(holder);
            best = best.max(Some(verdict));
            verdict == AdmissionVerdict::Admitted
        });
        if !admitting.is_empty() || others.is_empty() {
            return Ok(admitting);
        }
        match self.soonest(&gate, &others) {
            Some(end) => Err(CapacityShortage {
                verdict: best.unwrap_or(AdmissionVerdict::Busy),
                end,
                idle_end: self.idle_end(&gate, &others),
                room: self.room(&gate, &others),
            }),
            None => Ok(others),
        }
    }

    fn soonest(&self, gate: &StreamGate<'_>, holders: &[HolderState]) -> Option<Duration> {
        let ends = holders.iter().filter_map(|holder| {
            let (load, candidate) = (self.load(holder)?, &holder.1);
            Some(gate.forecast(&load, &self.need(candidate)).end)
        });
        ends.min()
    }

    fn idle_end(&self, gate: &StreamGate<'_>, holders: &[HolderState]) -> Duration {
        let ends = holders.iter().filter_map(|holder| {
            let (load, candidate) = (self.load(holder)?, &holder.1);
            Some(gate.idle_forecast(&load, &self.need(candidate)).end)
        });
        ends.min().unwrap_or_default()
    }

    /// Returns when a runner has room for the request, and how often requests of this node find room after that: nodes
    /// share what becomes free alike.
    fn room(&self, gate: &StreamGate<'_>, holders: &[HolderState]) -> Option<RoomForecast> {
        let mut loads: Vec<(BatchLoad, RequestNeed)> = holders
            .iter()
            .filter_map(|holder| Some((self.load(holder)?, self.need(&holder.1))))
            .collect();
        let rate: f64 = loads
            .iter()
            .filter_map(|(load, _)| release_rate(gate.now, load, gate.measured))
            .sum();
        loads
            .sort_by(|(left, _), (right, _)| (left.running + left.waiting).total_cmp(&(right.running + right.waiting)));
        let least = loads.iter().take(MAX_ROOM_RUNNERS);
        let rooms = least.filter_map(|(load, need)| gate.time_to_room(load, need));
        let (first_room, is_in_time) = rooms.min_by_key(|(time, is_in_time)| (!is_in_time, *time))?;
        let interval = Duration::try_from_secs_f64(f64::from(self.nodes.max(1)) / rate).ok()?;
        Some(RoomForecast {
            first_room,
            is_in_time,
            interval,
        })
    }
}
