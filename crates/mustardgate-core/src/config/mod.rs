//! Configuration replicated from the platform's log by replay.
//!
//! A [`ConfigReplica`] applies records in offset order and only ever moves forward, a [`FollowerState`] decides where
//! the next records come from, and a [`ChangeSubmission`] takes one change from the operator to its outcome. The
//! choices are explained in `docs/design/configuration.md`.

mod digest;
mod feeds;
mod follower;
mod history;
mod replica;
mod search;
mod snapshots;
mod span;
mod status;
mod submission;
mod view;

pub use self::{
    digest::StateDigest,
    feeds::{FEED_SILENCE_MS, FEEDERS_PER_DOMAIN, choose_feeders},
    follower::{FollowAction, FollowReport, FollowerState},
    history::{ConfigEvent, DIGEST_RING_ENTRIES, EVENT_RING_ENTRIES, RECENT_CHANGES_KEPT, WatchError},
    replica::ConfigReplica,
    search::SnapshotSearch,
    snapshots::{SnapshotPolicy, SnapshotSchedule},
    span::{ConfigSpan, FeedFrame},
    status::{InstallOutcome, LoadState, NotLoadedReason, ReplicaError, SnapshotSource},
    submission::{ChangeOutcome, ChangeSubmission, SubmissionAction},
    view::ConfigView,
};
