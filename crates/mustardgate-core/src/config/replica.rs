//! Replica of the configuration, which applies the records of the log in offset order and never goes back.

use std::sync::Arc;

use snafu::ensure;

use super::{
    digest::StateDigest,
    history::{ConfigEvent, DigestRing, EventRing, RecentChanges, WatchError},
    span::ConfigSpan,
    status::{
        GapSnafu, InstallOutcome, LoadState, NoBaseSnafu, NotLoadedReason, ReplicaError, SnapshotMismatchSnafu,
        SnapshotSource, invalid_snapshot, is_well_formed,
    },
    view::ConfigView,
};
use crate::{
    ids::{NodeId, Offset},
    log::{ChangeRecord, LogRecord, RecentChange, SnapshotRecord, VersionedResource},
};

/// Configuration as replayed from the log by one node.
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    next: Offset,
    has_base: bool,
    is_loaded: bool,
    load_target: Option<Offset>,
    not_loaded_reason: NotLoadedReason,
    view: Arc<ConfigView>,
    digest: StateDigest,
    recent: RecentChanges,
    digests: DigestRing,
    events: EventRing,
    refused_snapshots: u64,
}

impl ConfigReplica {
    /// Creates a replica without a base state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the last record whose effect is included.
    pub fn applied_offset(&self) -> Option<Offset> {
        self.next.checked_sub(1)
    }

    /// Returns the next offset to apply.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the digest of the current state.
    pub fn digest(&self) -> StateDigest {
        self.digest
    }

    /// Returns whether the replica has a base state to apply records to: the beginning of the log or a snapshot.
    pub fn has_base(&self) -> bool {
        self.has_base
    }

    /// Returns whether the view may be served.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns whether the view may be served, and the reason if it may not.
    pub fn load_state(&self) -> LoadState {
        match (self.is_loaded, self.load_target) {
            (true, _) => LoadState::Loaded,
            (false, Some(end)) if self.has_base => LoadState::NotLoaded(NotLoadedReason::Replaying { end }),
            (false, _) => LoadState::NotLoaded(self.not_loaded_reason),
        }
    }

    /// Sets the reason why the configuration could not be loaded so far.
    pub fn set_not_loaded_reason(&mut self, reason: NotLoadedReason) {
        self.not_loaded_reason = reason;
    }

    /// Returns the current view without copying it.
    pub fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&self.view)
    }

    /// Returns the outcome of a decided change, as long as its identifier is kept.
    pub fn outcome_of(&self, change: &str) -> Option<&RecentChange> {
        self.recent.get(change)
    }

    /// Lists the events from an offset on.
    ///
    /// # Errors
    /// [`WatchError::TooOld`] when some of them are no longer kept.
    pub fn events_from(&self, offset: Offset) -> Result<Vec<ConfigEvent>, WatchError> {
        self.events.events_from(offset)
    }

    /// Returns how many snapshots were refused; each indicates a software fault at the node that wrote or read it.
    pub fn refused_snapshots(&self) -> u64 {
        self.refused_snapshots
    }

    /// Takes the empty configuration as the base state, because the log is kept from offset 0.
    pub fn begin_at_origin(&mut self) {
        if self.has_base {
            return;
        }
        self.has_base = true;
        self.digests = DigestRing::starting_at(0, StateDigest::default());
        self.check_loaded();
    }

    /// Sets the offset that must be reached before the view may be served; later calls have no effect.
    pub fn require_offset(&mut self, end: Offset) {
        self.load_target.get_or_insert(end);
        self.check_loaded();
    }

    /// Applies a contiguous range of records, and returns an error for each snapshot in it that was refused.
    ///
    /// # Errors
    /// [`ReplicaError::Gap`] when records before the range are missing, [`ReplicaError::NoBase`] without a base state.
    pub fn apply(&mut self, span: &ConfigSpan) -> Result<Vec<ReplicaError>, ReplicaError> {
        ensure!(self.has_base, NoBaseSnafu);
        ensure!(
            span.from <= self.next,
            GapSnafu {
                next: self.next,
                from: span.from
            }
        );
        let mut refused = Vec::new();
        for entry in &span.entries {
            if entry.offset < self.next || entry.offset >= span.until {
                continue;
            }
            match &entry.record {
                LogRecord::Change(change) => self.decide_change(entry.offset, change),
                LogRecord::Snapshot(snapshot) => refused.extend(self.verify_log_snapshot(entry.offset, snapshot).err()),
                LogRecord::Lease(_) | LogRecord::Batch(_) => {}
            }
            self.next = entry.offset + 1;
        }
        self.next = self.next.max(span.until);
        self.check_loaded();
        Ok(refused)
    }

    /// Advances to the state of a snapshot, or verifies the snapshot if the replica has already passed its offset.
    ///
    /// # Errors
    /// [`ReplicaError::SnapshotMismatch`] or [`ReplicaError::InvalidSnapshot`]; the state is then unchanged.
    pub fn install(
        &mut self,
        snapshot: &SnapshotRecord,
        source: SnapshotSource,
    ) -> Result<InstallOutcome, ReplicaError> {
        let outcome = self.try_install(snapshot);
        if outcome.is_err() {
            self.refused_snapshots += 1;
        }
        self.is_loaded |= source == SnapshotSource::Neighbour && outcome.is_ok();
        self.check_loaded();
        outcome
    }

    /// Creates a snapshot of the current state for the log or a neighbour, or returns `None` while it is not loaded.
    pub fn to_snapshot(&self, author: NodeId) -> Option<SnapshotRecord> {
        if !self.is_loaded {
            return None;
        }
        Some(SnapshotRecord {
            as_of: self.applied_offset()?,
            author,
            resources: self.view.iter().map(|resource| (**resource).clone()).collect(),
            recent_changes: self.recent.to_list(),
        })
    }

    fn check_loaded(&mut self) {
        self.is_loaded |= self.has_base && self.load_target.is_some_and(|target| self.next >= target);
    }

    fn decide_change(&mut self, offset: Offset, record: &ChangeRecord) {
        if self.recent.get(&record.change).is_some() {
            return;
        }
        let accepted = self.is_effective(record);
        if accepted {
            self.apply_change(offset, record);
        }
        let decided = RecentChange {
            change: record.change.clone(),
            offset,
            accepted,
        };
        self.digest.add_change(&decided);
        if let Some(removed) = self.recent.push(decided) {
            self.digest.remove_change(&removed);
        }
        self.digests.push(offset, self.digest);
    }

    fn is_effective(&self, record: &ChangeRecord) -> bool {
        let is_same_kind = record
            .spec
            .as_ref()
            .is_none_or(|spec| spec.kind() == record.resource.kind);
        let has_effect = record.spec.is_some() || record.expected.is_some();
        is_same_kind && has_effect && self.view.version_of(&record.resource) == record.expected
    }

    fn apply_change(&mut self, offset: Offset, record: &ChangeRecord) {
        let generation = self
            .view
            .get(&record.resource)
            .map_or(0, |resource| resource.generation)
            + 1;
        let resource = record.spec.as_ref().map(|spec| {
            Arc::new(VersionedResource {
                key: record.resource.clone(),
                version: offset,
                generation,
                spec: spec.clone(),
            })
        });
        let view = Arc::make_mut(&mut self.view);
        let previous = match &resource {
            Some(resource) => view.insert(Arc::clone(resource)),
            None => view.remove(&record.resource),
        };
        if let Some(previous) = previous {
            self.digest.remove_resource(&previous);
        }
        if let Some(resource) = &resource {
            self.digest.add_resource(resource);
        }
        self.events.push(ConfigEvent {
            offset,
            key: record.resource.clone(),
            resource,
        });
    }

    fn verify_log_snapshot(
        &mut self,
        offset: Offset,
        snapshot: &SnapshotRecord,
    ) -> Result<InstallOutcome, ReplicaError> {
        let outcome = if snapshot.as_of < offset {
            self.verify(snapshot)
        } else {
            invalid_snapshot(snapshot)
        };
        if outcome.is_err() {
            self.refused_snapshots += 1;
        }
        outcome
    }

    fn verify(&self, snapshot: &SnapshotRecord) -> Result<InstallOutcome, ReplicaError> {
        let Some(own) = self.digests.digest_at(snapshot.as_of) else {
            return Ok(InstallOutcome::TooOldToCheck);
        };
        ensure!(
            own == StateDigest::of_snapshot(snapshot),
            SnapshotMismatchSnafu {
                as_of: snapshot.as_of,
                author: snapshot.author.clone()
            }
        );
        Ok(InstallOutcome::Confirmed)
    }

    fn try_install(&mut self, snapshot: &SnapshotRecord) -> Result<InstallOutcome, ReplicaError> {
        if self.has_base && snapshot.as_of < self.next {
            return self.verify(snapshot);
        }
        if !is_well_formed(snapshot) || !self.extends_state(snapshot) {
            return invalid_snapshot(snapshot);
        }
        let mut view = ConfigView::default();
        for resource in &snapshot.resources {
            view.insert(Arc::new(resource.clone()));
        }
        self.view = Arc::new(view);
        self.digest = StateDigest::of_snapshot(snapshot);
        self.recent = RecentChanges::from_list(&snapshot.recent_changes);
        self.digests = DigestRing::starting_at(snapshot.as_of, self.digest);
        self.events = EventRing::starting_at(snapshot.as_of + 1);
        self.next = snapshot.as_of + 1;
        self.has_base = true;
        Ok(InstallOutcome::Installed)
    }

    /// Returns whether installing the snapshot reverts no resource to an older version and alters no decided change.
    fn extends_state(&self, snapshot: &SnapshotRecord) -> bool {
        let has_no_older_version = snapshot.resources.iter().all(|resource| {
            self.view.get(&resource.key).is_none_or(|own| {
                own.version < resource.version || (own.version == resource.version && **own == *resource)
            })
        });
        let has_same_outcomes = snapshot
            .recent_changes
            .iter()
            .all(|change| self.outcome_of(&change.change).is_none_or(|own| own == change));
        has_no_older_version && has_same_outcomes
    }
}
