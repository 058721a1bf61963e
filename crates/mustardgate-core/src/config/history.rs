//! Recent history of a replica: decided changes, digests at earlier offsets, and events for watchers.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use snafu::Snafu;

use super::digest::StateDigest;
use crate::{
    ids::{ChangeId, Offset},
    log::{RecentChange, VersionedResource},
    resources::ResourceKey,
};

/// Number of decided changes whose identifiers are kept: more than three days at 1,200 changes a day.
pub const RECENT_CHANGES_KEPT: usize = 4096;
/// Number of earlier states whose digests are kept to verify snapshots.
pub const DIGEST_RING_ENTRIES: usize = 4096;
/// Number of events kept for watchers.
pub const EVENT_RING_ENTRIES: usize = 4096;

/// One change of the configuration that took effect.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigEvent {
    /// Offset of the change, which is the new version of the resource.
    pub offset: Offset,
    /// Resource that changed.
    pub key: ResourceKey,
    /// Resource after the change, or `None` when it was deleted.
    pub resource: Option<Arc<VersionedResource>>,
}

/// Why events cannot be listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum WatchError {
    /// Events before the given offset are no longer kept; the watcher has to list the resources and watch again.
    #[snafu(display("events before offset {earliest} are no longer kept"))]
    TooOld {
        /// Smallest offset from which all later events are kept.
        earliest: Offset,
    },
}

/// Decided changes by identifier, limited by number so that every replica removes the same ones.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentChanges {
    order: VecDeque<RecentChange>,
    outcomes: BTreeMap<ChangeId, RecentChange>,
}

impl RecentChanges {
    pub(super) fn from_list(changes: &[RecentChange]) -> Self {
        let outcomes = changes.iter().map(|change| (change.change.clone(), change.clone()));
        Self {
            order: changes.iter().cloned().collect(),
            outcomes: outcomes.collect(),
        }
    }

    pub(super) fn get(&self, change: &str) -> Option<&RecentChange> {
        self.outcomes.get(change)
    }

    pub(super) fn to_list(&self) -> Vec<RecentChange> {
        self.order.iter().cloned().collect()
    }

    /// Adds a decided change and returns the oldest one if it was removed to stay within the limit.
    pub(super) fn push(&mut self, change: RecentChange) -> Option<RecentChange> {
        self.outcomes.insert(change.change.clone(), change.clone());
        self.order.push_back(change);
        if self.order.len() <= RECENT_CHANGES_KEPT {
            return None;
        }
        let removed = self.order.pop_front()?;
        self.outcomes.remove(&removed.change);
        Some(removed)
    }
}

/// Digests of earlier states by the offset of the change that produced each state.
#[derive(Clone, Debug, Default)]
pub(super) struct DigestRing {
    entries: VecDeque<(Offset, StateDigest)>,
}

impl DigestRing {
    pub(super) fn starting_at(offset: Offset, digest: StateDigest) -> Self {
        Self {
            entries: VecDeque::from([(offset, digest)]),
        }
    }

    pub(super) fn push(&mut self, offset: Offset, digest: StateDigest) {
        self.entries.push_back((offset, digest));
        if self.entries.len() > DIGEST_RING_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// Returns the digest of the state after the record at `offset`, or `None` when it is no longer known.
    pub(super) fn digest_at(&self, offset: Offset) -> Option<StateDigest> {
        let later = self.entries.partition_point(|(changed, _)| *changed <= offset);
        self.entries.get(later.checked_sub(1)?).map(|(_, digest)| *digest)
    }
}

/// The most recent events.
#[derive(Clone, Debug, Default)]
pub(super) struct EventRing {
    earliest: Offset,
    events: VecDeque<ConfigEvent>,
}

impl EventRing {
    pub(super) fn starting_at(earliest: Offset) -> Self {
        Self {
            earliest,
            events: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, event: ConfigEvent) {
        self.events.push_back(event);
        if self.events.len() > EVENT_RING_ENTRIES
            && let Some(dropped) = self.events.pop_front()
        {
            self.earliest = dropped.offset + 1;
        }
    }

    pub(super) fn events_from(&self, offset: Offset) -> Result<Vec<ConfigEvent>, WatchError> {
        if offset < self.earliest {
            return Err(WatchError::TooOld {
                earliest: self.earliest,
            });
        }
        let first = self.events.partition_point(|event| event.offset < offset);
        Ok(self.events.range(first..).cloned().collect())
    }
}
