//! The leader's side: which changes to send, to whom and when.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::message::{ReadyChange, ReportCatalogue, ReportFrame, RunnerState};
use crate::ids::{BackendId, DomainId, NodeId};

/// Time between two frames with loads to nodes of the own failure domain, sent even if nothing changed.
const NEIGHBOUR_LOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two frames with loads to other failure domains, sent even if nothing changed.
pub const RELAY_LOAD_INTERVAL: Duration = Duration::from_secs(10);
/// Divisor of the load last sent that gives the smallest change to send.
const LOAD_CHANGE_DIVISOR: u32 = 4;

/// Recipients of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReportAudience {
    /// The other nodes of the own failure domain.
    Neighbours,
    /// The nodes of other failure domains that pass frames on to their neighbours.
    Relays,
}

/// Loads last sent to one audience, and when the next are due.
#[derive(Clone, Debug)]
struct LoadSchedule {
    audience: ReportAudience,
    interval: Duration,
    sent_loads: Vec<u32>,
    last_sent_at: Option<Instant>,
}

impl LoadSchedule {
    fn new(audience: ReportAudience, interval: Duration) -> Self {
        Self {
            audience,
            interval,
            sent_loads: Vec::new(),
            last_sent_at: None,
        }
    }

    /// Returns the changed loads if a frame with loads is due, and `None` otherwise.
    fn take_due(&mut self, loads: &[u32], now: Instant) -> Option<Vec<(u16, u32)>> {
        if self.last_sent_at.is_some_and(|at| now < at + self.interval) {
            return None;
        }
        self.last_sent_at = Some(now);
        self.sent_loads.resize(loads.len(), 0);
        let mut due = Vec::new();
        for (index, (load, sent)) in (0..).zip(loads.iter().zip(&mut self.sent_loads)) {
            if load.abs_diff(*sent).saturating_mul(LOAD_CHANGE_DIVISOR) >= (*sent).max(1) {
                *sent = *load;
                due.push((index, *load));
            }
        }
        Some(due)
    }
}

/// Decides what the leader of a failure domain sends to other nodes about its runners.
#[derive(Clone, Debug)]
pub struct ReportPublisher {
    catalogue: ReportCatalogue,
    indexes: BTreeMap<BackendId, usize>,
    changes: Vec<ReadyChange>,
    schedules: [LoadSchedule; 2],
}

impl ReportPublisher {
    /// Creates the publisher of one tenure; `session` is a new number for each.
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

    /// Records the newest state of a runner.
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

    /// Returns the frames to send now: changes of ready weights at once, loads at the interval of each audience.
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

    /// Returns the whole state for a node that has missed a frame, or `None` while changes wait to be sent.
    pub fn catalogue(&self) -> Option<&ReportCatalogue> {
        self.changes.is_empty().then_some(&self.catalogue)
    }
}
