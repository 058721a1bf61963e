//! What a replica says about itself and about the steps it is asked to take.

use snafu::Snafu;

use super::history::RECENT_CHANGES_KEPT;
use crate::{
    ids::{NodeId, Offset},
    log::SnapshotRecord,
};

/// Whether a replica holds the declared configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// The view is the configuration as of the applied offset.
    Loaded,
    /// The view must not be taken for the declared configuration.
    NotLoaded(NotLoadedReason),
}

/// Why a replica holds no configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Snafu)]
pub enum NotLoadedReason {
    /// Nothing was read yet.
    #[default]
    #[snafu(display("no record was read yet"))]
    Starting,
    /// The log does not answer and no neighbour handed its state over.
    #[snafu(display("the log does not answer"))]
    LogUnavailable,
    /// The log begins after the first change and keeps no usable snapshot.
    #[snafu(display("the log begins at offset {earliest} and holds no usable snapshot"))]
    NoSnapshot {
        /// Offset of the oldest record kept.
        earliest: Offset,
    },
    /// Records that existed when the log was first read are still to be replayed.
    #[snafu(display("records up to offset {end} are still to be replayed"))]
    Replaying {
        /// Offset that must be reached.
        end: Offset,
    },
}

/// Where a snapshot comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotSource {
    /// A record of the log, whose tail is still to be replayed.
    Log,
    /// A neighbour that has loaded the configuration itself.
    Neighbour,
}

/// What became of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The replica moved forward to the snapshot.
    Installed,
    /// The replica was there already and its own state was the same.
    Confirmed,
    /// The replica was there already and no longer knows its state at that offset.
    TooOldToCheck,
}

/// A step that the replica refused; its state is as before.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ReplicaError {
    /// Records between the applied offset and the span are missing.
    #[snafu(display("records from offset {next} to {from} are missing"))]
    Gap {
        /// Offset that has to be applied next.
        next: Offset,
        /// First offset of the span.
        from: Offset,
    },
    /// The replica has neither the beginning of the log nor a snapshot.
    #[snafu(display("nothing to apply records to"))]
    NoBase,
    /// A snapshot differs from the replica's own state at the same offset.
    #[snafu(display("a snapshot as of offset {as_of} by {author} differs from the replayed state"))]
    SnapshotMismatch {
        /// Offset the snapshot stands for.
        as_of: Offset,
        /// Node that wrote it.
        author: NodeId,
    },
    /// The state after a span from a feeder differs from the feeder's own.
    #[snafu(display("the state before offset {until} differs from the feeder's"))]
    FeedMismatch {
        /// Offset after the last record of the span.
        until: Offset,
    },
    /// A snapshot contradicts itself, or would take a resource back to an older version.
    #[snafu(display("a snapshot as of offset {as_of} by {author} is not valid"))]
    InvalidSnapshot {
        /// Offset the snapshot stands for.
        as_of: Offset,
        /// Node that wrote it.
        author: NodeId,
    },
}

/// Returns whether a snapshot agrees with itself.
pub(super) fn is_well_formed(snapshot: &SnapshotRecord) -> bool {
    let is_ordered = snapshot.resources.is_sorted_by(|left, right| left.key < right.key);
    let is_past = snapshot
        .resources
        .iter()
        .all(|resource| resource.version <= snapshot.as_of);
    let is_same_kind = snapshot
        .resources
        .iter()
        .all(|resource| resource.spec.kind() == resource.key.kind);
    let changes = &snapshot.recent_changes;
    let are_changes_ordered = changes.is_sorted_by(|left, right| left.offset < right.offset);
    let are_changes_past = changes.last().is_none_or(|change| change.offset <= snapshot.as_of);
    let are_changes_bounded = changes.len() <= RECENT_CHANGES_KEPT;
    is_ordered && is_past && is_same_kind && are_changes_ordered && are_changes_past && are_changes_bounded
}

pub(super) fn invalid<T>(snapshot: &SnapshotRecord) -> Result<T, ReplicaError> {
    InvalidSnapshotSnafu {
        as_of: snapshot.as_of,
        author: snapshot.author.clone(),
    }
    .fail()
}
