//! The leader's side: what is due to be told, and to whom.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::message::{ReadyChange, ReportCatalogue, ReportFrame, RunnerState};
use crate::ids::{BackendId, DomainId, NodeId};

/// Time between two frames with load to the own failure domain, also when nothing changed.
const NEIGHBOUR_LOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two frames with load to other failure domains, also when nothing changed.
pub const RELAY_LOAD_INTERVAL: Duration = Duration::from_secs(10);
/// Divisor of the load last told that gives the smallest change worth telling.
const LOAD_CHANGE_DIVISOR: u32 = 4;

/// Whom a frame is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReportAudience {
    /// The other nodes of the own failure domain.
    Neighbours,
    /// The nodes through which other failure domains get news.
    Relays,
}

/// What one audience was told of load.
#[derive(Clone, Debug)]
struct LoadSchedule {
    audience: ReportAudience,
    interval: Duration,
    told: Vec<u32>,
    last_sent: Option<Instant>,
}

impl LoadSchedule {
    fn new(audience: ReportAudience, interval: Duration) -> Self {
        Self {
            audience,
            interval,
            told: Vec::new(),
            last_sent: None,
        }
    }

    /// Returns the loads to tell when they are due, and `None` before.
    fn take_due(&mut self, loads: &[u32], now: Instant) -> Option<Vec<(u16, u32)>> {
        if self.last_sent.is_some_and(|sent| now < sent + self.interval) {
            return None;
        }
        self.last_sent = Some(now);
        self.told.resize(loads.len(), 0);
        let mut due = Vec::new();
        for (index, (load, told)) in (0..).zip(loads.iter().zip(&mut self.told)) {
            if load.abs_diff(*told).saturating_mul(LOAD_CHANGE_DIVISOR) >= (*told).max(1) {
                *told = *load;
                due.push((index, *load));
            }
        }
        Some(due)
    }
}

/// Decides what the leader of a failure domain tells other nodes of its runners.
#[derive(Clone, Debug)]
pub struct ReportPublisher {
    catalogue: ReportCatalogue,
    indexes: BTreeMap<BackendId, usize>,
    changes: Vec<ReadyChange>,
    schedules: [LoadSchedule; 2],
}

impl ReportPublisher {
    /// Creates the publisher of a tenure; `session` is drawn anew for each.
    pub fn new(domain: DomainId, leader: NodeId, session: u64) -> Self {
        let catalogue = ReportCatalogue {
            domain,
            leader,
            session,
            version: 0,
            runners: Vec::new(),
        };
        Self {
            catalogue,
            indexes: BTreeMap::new(),
            changes: Vec::new(),
            schedules: [
                LoadSchedule::new(ReportAudience::Neighbours, NEIGHBOUR_LOAD_INTERVAL),
                LoadSchedule::new(ReportAudience::Relays, RELAY_LOAD_INTERVAL),
            ],
        }
    }

    /// Takes in the newest state of a runner.
    pub fn observe(&mut self, backend: &BackendId, state: RunnerState) {
        let known = self.indexes.get(backend).copied();
        let index = known.unwrap_or(self.catalogue.runners.len());
        let Ok(number) = u16::try_from(index) else { return };
        if known.is_none() {
            self.indexes.insert(backend.clone(), index);
            self.catalogue.runners.push((backend.clone(), RunnerState::default()));
        }
        let before = &mut self.catalogue.runners[index].1;
        let added = state.ready.difference(&before.ready).cloned().collect::<Vec<_>>();
        let removed = before.ready.difference(&state.ready).cloned().collect::<Vec<_>>();
        *before = state;
        if known.is_none() || !added.is_empty() || !removed.is_empty() {
            self.changes.push(ReadyChange {
                index: number,
                backend: known.is_none().then(|| backend.clone()),
                added,
                removed,
            });
        }
    }

    /// Returns the frames that are due: changes of what is ready at once, load at an interval.
    pub fn take_frames(&mut self, now: Instant) -> Vec<(ReportAudience, ReportFrame)> {
        let base = self.catalogue.version;
        let changes = std::mem::take(&mut self.changes);
        self.catalogue.version += u64::from(!changes.is_empty());
        let loads: Vec<u32> = self
            .catalogue
            .runners
            .iter()
            .map(|(_, state)| state.outstanding)
            .collect();
        let mut frames = Vec::new();
        for schedule in &mut self.schedules {
            let due = schedule.take_due(&loads, now);
            if due.is_none() && changes.is_empty() {
                continue;
            }
            let frame = ReportFrame {
                domain: self.catalogue.domain.clone(),
                leader: self.catalogue.leader.clone(),
                session: self.catalogue.session,
                sender: self.catalogue.leader.clone(),
                base,
                version: self.catalogue.version,
                changes: changes.clone(),
                loads: due.unwrap_or_default(),
            };
            frames.push((schedule.audience, frame));
        }
        frames
    }

    /// Returns the whole state for a node that has missed a frame, or `None` while changes wait to be told.
    pub fn catalogue(&self) -> Option<&ReportCatalogue> {
        self.changes.is_empty().then_some(&self.catalogue)
    }
}
