//! Configuration, replicated on every node by replay of the platform's log.
//!
//! A [`ConfigReplica`] applies records in offset order and never goes back, a [`FollowerState`] decides where the next
//! records are read, and a [`ChangeSubmission`] submits one change of an operator and determines its outcome. The
//! design is explained in `docs/design/configuration.md`.

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
    feeds::{FEED_TIMEOUT_MS, FEEDERS_PER_DOMAIN, choose_feeders},
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
