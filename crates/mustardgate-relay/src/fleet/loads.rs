//! Loads of runners as all nodes together see them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::{RunnerProcess, ServiceId},
    relay::{LoadStatement, ReportedLoad, RunnerLoadView, RunnerTag, SharedLoadEstimate},
};

use super::{RunnerCell, RunnerFleet};

/// Weight of one request in the mean time for which a runner has a request.
const HOLD_WEIGHT: f64 = 0.1;

/// Load of one runner by the newest statement that any node has seen.
#[derive(Debug)]
pub struct SharedCellLoad {
    tag: RunnerTag,
    state: Mutex<LoadState>,
}

#[derive(Debug, Default)]
struct LoadState {
    estimate: SharedLoadEstimate,
    /// What the runner last stated to this node, and when.
    own: Option<(ReportedLoad, Instant)>,
    /// Mean time of this node's requests there, at the usual pace.
    hold: Option<Duration>,
}

impl SharedCellLoad {
    /// Creates the load of a process that has stated nothing.
    pub fn new(process: &RunnerProcess) -> Self {
        Self {
            tag: RunnerTag::of(process),
            state: Mutex::default(),
        }
    }

    /// Counts a request that is sent.
    pub fn begin(&self, now: Instant) {
        self.lock().estimate.begin(now);
    }

    /// Counts a request that has ended; `held` is the time for which the runner had it, if it answered it whole.
    pub fn end(&self, now: Instant, held: Option<Duration>) {
        let mut state = self.lock();
        state.estimate.end(now);
        let Some(held) = held else { return };
        let pace = state.estimate.newest().and_then(|(load, _)| load.pace).unwrap_or(1.0);
        let held = held.div_f64(pace);
        let change = |hold: Duration| hold.mul_f64(1.0 - HOLD_WEIGHT) + held.mul_f64(HOLD_WEIGHT);
        state.hold = Some(state.hold.map_or(held, change));
    }

    /// Returns the mean time for which the runner has a request of this node, at the usual pace.
    pub fn hold(&self) -> Option<Duration> {
        self.lock().hold
    }

    /// Records what the runner stated to this node.
    pub fn report(&self, now: Instant, load: ReportedLoad) {
        let mut state = self.lock();
        state.estimate.state(now, load);
        state.own = Some((load, now));
    }

    /// Returns whether the runner states its pace.
    pub fn is_paced(&self) -> bool {
        self.lock().estimate.is_paced()
    }

    /// Returns the load that is expected now.
    pub fn view(&self, now: Instant) -> Option<RunnerLoadView> {
        self.lock().estimate.view(now)
    }

    fn lock(&self) -> MutexGuard<'_, LoadState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn statement(&self, now: Instant, (load, at): (ReportedLoad, Instant)) -> Option<LoadStatement> {
        load.pace?;
        Some(LoadStatement {
            runner: self.tag,
            load,
            age: now.saturating_duration_since(at),
        })
    }
}

impl RunnerFleet {
    /// Returns the statements of loads that runners made to this node after a time.
    pub fn own_loads(&self, now: Instant, since: Option<Instant>) -> Vec<LoadStatement> {
        let cells = self.all();
        let own = cells.iter().filter_map(|cell| {
            let load = &cell.shared_load;
            let own = load
                .lock()
                .own
                .filter(|(_, at)| since.is_none_or(|since| *at >= since))?;
            load.statement(now, own)
        });
        own.collect()
    }

    /// Returns the newest statements of loads, whichever node they were made to.
    pub fn known_loads(&self, now: Instant) -> Vec<LoadStatement> {
        let cells = self.all();
        let known = cells.iter().filter_map(|cell| {
            let load = &cell.shared_load;
            let newest = load.lock().estimate.newest()?;
            load.statement(now, newest)
        });
        known.collect()
    }

    /// Takes over statements that were made to other nodes; returns the number of those that are newer than what was known.
    pub fn hear_loads(&self, now: Instant, statements: &[LoadStatement]) -> usize {
        if statements.is_empty() {
            return 0;
        }
        let cells = self.cells_by_tag();
        let newer = statements.iter().filter(|statement| {
            // Of two processes with the same tag each could be meant.
            let cell = cells.get(&statement.runner).and_then(Option::as_ref);
            let at = now.checked_sub(statement.age);
            let Some((cell, at)) = cell.zip(at) else { return false };
            cell.shared_load.lock().estimate.state(at, statement.load)
        });
        let newer = newer.count();
        if newer > 0 {
            self.waiting.wake_all();
        }
        newer
    }

    /// Makes all statements older by a time in which the machine was suspended.
    pub fn add_load_age(&self, time: Duration) {
        for cell in self.all() {
            let mut state = cell.shared_load.lock();
            state.estimate.add_age(time);
            if let Some((_, at)) = &mut state.own {
                *at = at.checked_sub(time).unwrap_or(*at);
            }
        }
    }

    /// Returns the short forms of the listed processes.
    pub fn load_tags(&self) -> BTreeSet<RunnerTag> {
        self.all().iter().map(|cell| cell.shared_load.tag).collect()
    }

    /// Returns the services with runners that state their pace.
    pub fn paced_services(&self) -> Vec<ServiceId> {
        let cells = self.all();
        let paced = cells.iter().filter(|cell| cell.shared_load.is_paced());
        let mut services: Vec<ServiceId> = paced.map(|cell| cell.listed().service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    fn cells_by_tag(&self) -> BTreeMap<RunnerTag, Option<Arc<RunnerCell>>> {
        let mut by_tag = BTreeMap::new();
        for cell in self.all() {
            let tag = cell.shared_load.tag;
            by_tag
                .entry(tag)
                .and_modify(|known| *known = None)
                .or_insert(Some(cell));
        }
        by_tag
    }
}
