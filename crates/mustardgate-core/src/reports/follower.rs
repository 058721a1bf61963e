//! The other nodes' side: the state of one failure domain's runners as its leader told it.

use std::time::{Duration, Instant};

use super::message::{ReadyChange, ReportCatalogue, ReportFrame, RunnerState};
use crate::ids::BackendId;

/// Time after a request for the catalogue within which no other is made.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// What a frame led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameOutcome {
    /// These runners have a new state.
    Applied(Vec<(BackendId, RunnerState)>),
    /// The frame, or a part of it, builds on something that this node does not have: ask its sender for the catalogue.
    AskCatalogue,
}

/// The state of one failure domain's runners.
#[derive(Clone, Debug, Default)]
pub struct ReportFollower {
    catalogue: Option<ReportCatalogue>,
    last_heard: Option<Instant>,
    last_asked: Option<Instant>,
}

impl ReportFollower {
    /// Takes in a frame; copies that are known already change nothing.
    pub fn on_frame(&mut self, frame: &ReportFrame, now: Instant) -> FrameOutcome {
        self.last_heard = Some(now);
        let Some(catalogue) = self
            .catalogue
            .as_mut()
            .filter(|catalogue| is_same_tenure(catalogue, frame))
        else {
            return self.ask(now);
        };
        if catalogue.version < frame.base {
            return self.ask(now);
        }
        let mut touched = Vec::new();
        if catalogue.version == frame.base {
            for change in &frame.changes {
                if !apply_change(catalogue, change) {
                    return self.ask(now);
                }
                touched.push(usize::from(change.index));
            }
            catalogue.version = frame.version;
        }
        for (index, load) in &frame.loads {
            let index = usize::from(*index);
            if let Some((_, state)) = catalogue.runners.get_mut(index) {
                state.outstanding = *load;
                touched.push(index);
            }
        }
        touched.sort_unstable();
        touched.dedup();
        FrameOutcome::Applied(touched.iter().map(|index| catalogue.runners[*index].clone()).collect())
    }

    /// Takes in a catalogue unless an equal or newer one of the same tenure is known; returns the state of every runner.
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

    /// Returns the state for a node that asks.
    pub fn catalogue(&self) -> Option<&ReportCatalogue> {
        self.catalogue.as_ref()
    }

    /// Returns when the last frame came.
    pub fn last_heard(&self) -> Option<Instant> {
        self.last_heard
    }

    fn ask(&mut self, now: Instant) -> FrameOutcome {
        if self.last_asked.is_some_and(|asked| now < asked + ASK_INTERVAL) {
            return FrameOutcome::Applied(Vec::new());
        }
        self.last_asked = Some(now);
        FrameOutcome::AskCatalogue
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
