//! Cache of the base placement.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::BackendId,
    placement::base::{AbsenceTracker, BaseInput, BasePlacement, DeclaredArtifact, DeclaredRunner},
};

/// Cache of the base placement, recomputed only when its input changes because the computation time grows with the
/// number of models and runners.
#[derive(Debug)]
pub(super) struct PlacementCache {
    absences: AbsenceTracker,
    input: BaseInput,
    placement: BasePlacement,
}

/// Declared runner and whether it takes new work.
#[derive(Clone, Debug)]
pub(super) struct RunnerPresence {
    pub(super) runner: DeclaredRunner,
    pub(super) is_serving: bool,
}

impl PlacementCache {
    /// Creates an empty cache; an absent runner keeps its base assignments for `grace_period`.
    pub(super) fn new(grace_period: Duration) -> Self {
        Self {
            absences: AbsenceTracker::new(grace_period),
            input: BaseInput::default(),
            placement: BasePlacement::default(),
        }
    }

    /// Sets the declared weights and runners, and recomputes the placement if they differ from the last refresh.
    pub(super) fn refresh(&mut self, now: Instant, artifacts: Vec<DeclaredArtifact>, presences: Vec<RunnerPresence>) {
        let (serving, absent): (Vec<_>, Vec<_>) = presences.into_iter().partition(|presence| presence.is_serving);
        let names: Vec<BackendId> = absent.iter().map(|presence| presence.runner.backend.clone()).collect();
        self.absences.observe(now, names);
        let is_expected = |presence: &RunnerPresence| self.absences.is_expected_back(now, &presence.runner.backend);
        let input = BaseInput {
            artifacts,
            runners: serving.into_iter().map(|presence| presence.runner).collect(),
            absent: absent
                .into_iter()
                .filter(is_expected)
                .map(|presence| presence.runner)
                .collect(),
        };
        if input != self.input {
            self.placement = BasePlacement::compute(&input);
            self.input = input;
        }
    }

    /// Returns the declared weights as of the last refresh.
    pub(super) fn artifacts(&self) -> &[DeclaredArtifact] {
        &self.input.artifacts
    }

    /// Returns the placement as of the last refresh.
    pub(super) fn placement(&self) -> &BasePlacement {
        &self.placement
    }
}
