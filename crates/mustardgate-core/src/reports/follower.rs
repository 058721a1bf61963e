//! The other nodes' side: the state of one failure domain's runners, as sent by its leader.

use std::time::{Duration, Instant};

use super::message::{ReadyChange, ReportCatalogue, ReportFrame, RunnerState};
use crate::ids::BackendId;

/// Minimum time between two requests for the catalogue.
const CATALOGUE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Result of applying a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameOutcome {
    /// These runners have a new state; none also when the catalogue is needed but was requested less than a second ago.
    Applied(Vec<(BackendId, RunnerState)>),
    /// The frame, or a part of it, builds on state that this node lacks: request the catalogue from its sender.
    CatalogueNeeded,
}

/// The state of one failure domain's runners, kept up to date by frames.
#[derive(Clone, Debug, Default)]
pub struct ReportFollower {
    catalogue: Option<ReportCatalogue>,
    last_frame_at: Option<Instant>,
    last_requested_at: Option<Instant>,
}

impl ReportFollower {
    /// Applies a frame; a repeated copy has no further effect.
    pub fn on_frame(&mut self, frame: &ReportFrame, now: Instant) -> FrameOutcome {
        self.last_frame_at = Some(now);
        let Some(catalogue) = self
            .catalogue
            .as_mut()
            .filter(|catalogue| is_same_tenure(catalogue, frame))
        else {
            return self.request_catalogue(now);
        };
        if catalogue.version < frame.base {
            return self.request_catalogue(now);
        }
        let mut changed = Vec::new();
        if catalogue.version == frame.base {
            for change in &frame.changes {
                if !apply_change(catalogue, change) {
                    return self.request_catalogue(now);
                }
                changed.push(usize::from(change.index));
            }
            catalogue.version = frame.version;
        }
        for (index, load) in &frame.loads {
            let index = usize::from(*index);
            if let Some((_, state)) = catalogue.runners.get_mut(index) {
                state.outstanding = *load;
                changed.push(index);
            }
        }
        changed.sort_unstable();
        changed.dedup();
        FrameOutcome::Applied(changed.iter().map(|index| catalogue.runners[*index].clone()).collect())
    }

    /// Applies a catalogue and returns its states, or none if an equal or newer one of the same tenure is known.
    pub fn on_catalogue(&mut self, catalogue: ReportCatalogue) -> Vec<(BackendId, RunnerState)> {
        let is_known = self.catalogue.as_ref().is_some_and(|known| {
            known.leader == catalogue.leader && known.session == catalogue.session && known.version >= catalogue.version
        });
        if is_known {
            return Vec::new();
        }
        let runners = catalogue.runners.clone();
        self.catalogue = Some(catalogue);
        runners
    }

    /// Returns the state for a node that requests it.
    pub fn catalogue(&self) -> Option<&ReportCatalogue> {
        self.catalogue.as_ref()
    }

    /// Returns when the last frame was received.
    pub fn last_frame_at(&self) -> Option<Instant> {
        self.last_frame_at
    }

    fn request_catalogue(&mut self, now: Instant) -> FrameOutcome {
        if self
            .last_requested_at
            .is_some_and(|at| now < at + CATALOGUE_REQUEST_INTERVAL)
        {
            return FrameOutcome::Applied(Vec::new());
        }
        self.last_requested_at = Some(now);
        FrameOutcome::CatalogueNeeded
    }
}

fn is_same_tenure(catalogue: &ReportCatalogue, frame: &ReportFrame) -> bool {
    catalogue.leader == frame.leader && catalogue.session == frame.session
}

/// Applies a change; returns whether its index is known or the next one.
fn apply_change(catalogue: &mut ReportCatalogue, change: &ReadyChange) -> bool {
    let index = usize::from(change.index);
    if let Some(backend) = change.backend.as_ref().filter(|_| index == catalogue.runners.len()) {
        catalogue.runners.push((backend.clone(), RunnerState::default()));
    }
    let Some((_, state)) = catalogue.runners.get_mut(index) else {
        return false;
    };
    for artifact in &change.removed {
        state.ready.remove(artifact);
    }
    state.ready.extend(change.added.iter().cloned());
    true
}
