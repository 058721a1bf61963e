//! How the identifiers of events rise in streams of a service, learnt from the answers that this process reads.
//!
//! Runners promise increasing identifiers and nothing of the steps between them. A step that was never seen in a service
//! tells a rest with a missing piece from a sound one. See `docs/design/whole-answers.md`.

use std::collections::BTreeMap;

use derive_more::Display;

use super::versions::VersionTag;

/// Steps of one after which a service is taken to number its events one by one.
const MIN_SINGLE_STEPS: u32 = 2;
/// Largest number of versions of runners that are remembered.
const MAX_ENTRIES: usize = 1_024;

/// What is known of the steps between identifiers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EventNumbering {
    /// Too few events were seen.
    #[display("unknown")]
    Unknown,
    /// Identifiers have risen by one only.
    #[display("consecutive")]
    Consecutive,
    /// Identifiers have risen by more than one.
    #[display("gapped")]
    Gapped,
}

/// Steps that were seen between events which followed each other in the answer of one runner.
///
/// The step from one answer to the next is no evidence: it is what the evidence has to judge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NumberingEvidence {
    single_steps: u32,
    has_gap: bool,
}

impl NumberingEvidence {
    /// Records the difference between the identifiers of two events.
    pub fn record_step(&mut self, step: u64) {
        match step {
            0 => {}
            1 => self.single_steps = self.single_steps.saturating_add(1),
            _ => self.record_gap(),
        }
    }

    /// Records that identifiers rise by more than one.
    pub fn record_gap(&mut self) {
        self.has_gap = true;
    }

    /// Returns this evidence together with `other`.
    #[must_use]
    pub fn merged_with(self, other: Self) -> Self {
        Self {
            single_steps: self.single_steps.saturating_add(other.single_steps),
            has_gap: self.has_gap || other.has_gap,
        }
    }

    /// Returns what follows from it.
    pub fn numbering(&self) -> EventNumbering {
        if self.has_gap {
            EventNumbering::Gapped
        } else if self.single_steps >= MIN_SINGLE_STEPS {
            EventNumbering::Consecutive
        } else {
            EventNumbering::Unknown
        }
    }
}

/// Evidence for each version of each service's runners, since another version may number its events in another way.
#[derive(Clone, Debug, Default)]
pub struct NumberingBook {
    entries: BTreeMap<VersionTag, NumberingEvidence>,
}

impl NumberingBook {
    /// Adds evidence from a stream.
    pub fn record(&mut self, version: VersionTag, evidence: NumberingEvidence) {
        if evidence == NumberingEvidence::default() {
            return;
        }
        if let Some(known) = self.entries.get_mut(&version) {
            *known = known.merged_with(evidence);
            return;
        }
        if self.entries.len() >= MAX_ENTRIES {
            // What is forgotten is learnt again with the next stream of the service.
            self.entries.pop_first();
        }
        self.entries.insert(version, evidence);
    }

    /// Returns the evidence for a version.
    pub fn evidence(&self, version: VersionTag) -> NumberingEvidence {
        self.entries.get(&version).copied().unwrap_or_default()
    }
}
