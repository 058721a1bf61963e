//! What the leader of a failure domain tells other nodes of its runners.
//!
//! Only the leader reads the engines' reports. A [`ReportPublisher`] tells the other nodes what changed, and a
//! [`ReportFollower`] keeps a failure domain's state from it and notices when it has missed something. See
//! `docs/design/peers.md`.

mod follower;
mod message;
mod publisher;

pub use self::{
    follower::{FrameOutcome, ReportFollower},
    message::{DemandReport, ReadyChange, ReportCatalogue, ReportFrame, RunnerState},
    publisher::{RELAY_LOAD_INTERVAL, ReportAudience, ReportPublisher},
};
