//! The base placement in force, computed again only when what it is made from has changed.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::BackendId,
    placement::base::{AbsenceTracker, BaseInput, BasePlacement, DeclaredArtifact, DeclaredRunner},
};

/// Keeps the base placement, which costs time with every model and runner, between two changes of its input.
#[derive(Debug)]
pub(super) struct BaseTracker {
    absences: AbsenceTracker,
    input: BaseInput,
    placement: BasePlacement,
}

/// A runner and whether it takes new work.
#[derive(Clone, Debug)]
pub(super) struct ListedRunner {
    pub(super) runner: DeclaredRunner,
    pub(super) is_live: bool,
}

impl BaseTracker {
    /// Creates a tracker with nothing placed; a runner that is away keeps its places for `expected_for`.
    pub(super) fn new(expected_for: Duration) -> Self {
        Self {
            absences: AbsenceTracker::new(expected_for),
            input: BaseInput::default(),
            placement: BasePlacement::default(),
        }
    }

    /// Takes what is declared and listed now, and computes the placement if that differs from before.
    pub(super) fn refresh(&mut self, now: Instant, artifacts: Vec<DeclaredArtifact>, listed: Vec<ListedRunner>) {
        let (live, away): (Vec<_>, Vec<_>) = listed.into_iter().partition(|listed| listed.is_live);
        let names: Vec<BackendId> = away.iter().map(|listed| listed.runner.backend.clone()).collect();
        self.absences.observe(now, names);
        let is_expected = |listed: &ListedRunner| self.absences.is_expected_back(now, &listed.runner.backend);
        let input = BaseInput {
            artifacts,
            runners: live.into_iter().map(|listed| listed.runner).collect(),
            absent: away
                .into_iter()
                .filter(is_expected)
                .map(|listed| listed.runner)
                .collect(),
        };
        if input != self.input {
            self.placement = BasePlacement::compute(&input);
            self.input = input;
        }
    }

    /// Returns the declared weights of the last refresh.
    pub(super) fn artifacts(&self) -> &[DeclaredArtifact] {
        &self.input.artifacts
    }

    /// Returns the placement of the last refresh.
    pub(super) fn placement(&self) -> &BasePlacement {
        &self.placement
    }
}
