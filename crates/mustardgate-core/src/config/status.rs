//! Status of a replica, and the results and errors of its operations.

use snafu::Snafu;

use super::history::RECENT_CHANGES_KEPT;
use crate::{
    ids::{NodeId, Offset},
    log::SnapshotRecord,
};

/// Whether a replica holds the complete configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// The view is the configuration as of the applied offset.
    Loaded,
    /// The view must not be used as the declared configuration.
    NotLoaded(NotLoadedReason),
}

/// Why a replica is not loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Snafu)]
pub enum NotLoadedReason {
    /// No record was read yet.
    #[default]
    #[snafu(display("no record was read yet"))]
    Starting,
    /// The log does not answer and no neighbour provided its state.
    #[snafu(display("the log does not answer"))]
    LogUnavailable,
    /// The beginning of the log was trimmed, and it keeps no usable snapshot.
    #[snafu(display("the log begins at offset {earliest} and holds no usable snapshot"))]
    NoSnapshot {
        /// Offset of the oldest record kept.
        earliest: Offset,
    },
    /// Records that existed when the log was first read have not been replayed yet.
    #[snafu(display("records up to offset {end} are still to be replayed"))]
    Replaying {
        /// Offset that the replay must reach.
        end: Offset,
    },
}

/// Origin of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotSource {
    /// A record of the log; the records after it are still to be replayed.
    Log,
    /// A neighbour whose own replica is loaded.
    Neighbour,
}

/// Result of installing or verifying a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The replica advanced to the state of the snapshot.
    Installed,
    /// The replica had already passed the snapshot's offset, and its own state there was the same.
    Confirmed,
    /// The replica had already passed the snapshot's offset, and no longer knows its state there.
    TooOldToCheck,
}

/// Error of an operation that the replica refused; its state is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ReplicaError {
    /// Records between the applied offset and the span are missing.
    #[snafu(display("records from offset {next} to {from} are missing"))]
    Gap {
        /// Next offset to apply.
        next: Offset,
        /// First offset of the span.
        from: Offset,
    },
    /// The replica has no base state: neither the beginning of the log nor a snapshot was reached.
    #[snafu(display("no base state to apply records to"))]
    NoBase,
    /// A snapshot differs from the replica's own state at the same offset.
    #[snafu(display("a snapshot as of offset {as_of} by {author} differs from the replayed state"))]
    SnapshotMismatch {
        /// Offset of the last record that the snapshot includes.
        as_of: Offset,
        /// Node that wrote it.
        author: NodeId,
    },
    /// The state after a span from a feeder differs from the feeder's state.
    #[snafu(display("the state before offset {until} differs from the feeder's"))]
    FeedMismatch {
        /// Offset after the last record of the span.
        until: Offset,
    },
    /// A snapshot is inconsistent in itself, or would revert a resource or a decided change to an earlier state.
    #[snafu(display("a snapshot as of offset {as_of} by {author} is not valid"))]
    InvalidSnapshot {
        /// Offset of the last record that the snapshot includes.
        as_of: Offset,
        /// Node that wrote it.
        author: NodeId,
    },
}

/// Returns whether a snapshot is consistent in itself: sorted, within its offset, kinds matching, changes bounded.
pub(super) fn is_well_formed(snapshot: &SnapshotRecord) -> bool {
    let are_resources_ordered = snapshot.resources.is_sorted_by(|left, right| left.key < right.key);
    let are_versions_past = snapshot
        .resources
        .iter()
        .all(|resource| resource.version <= snapshot.as_of);
    let do_kinds_match = snapshot
        .resources
        .iter()
        .all(|resource| resource.spec.kind() == resource.key.kind);
    let changes = &snapshot.recent_changes;
    let are_changes_ordered = changes.is_sorted_by(|left, right| left.offset < right.offset);
    let are_changes_past = changes.last().is_none_or(|change| change.offset <= snapshot.as_of);
    let are_changes_bounded = changes.len() <= RECENT_CHANGES_KEPT;
    are_resources_ordered
        && are_versions_past
        && do_kinds_match
        && are_changes_ordered
        && are_changes_past
        && are_changes_bounded
}

pub(super) fn invalid_snapshot<T>(snapshot: &SnapshotRecord) -> Result<T, ReplicaError> {
    InvalidSnapshotSnafu {
        as_of: snapshot.as_of,
        author: snapshot.author.clone(),
    }
    .fail()
}
