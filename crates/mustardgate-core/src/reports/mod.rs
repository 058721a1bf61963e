//! Distribution of runner states from the leader of a failure domain to the other nodes.
//!
//! Only the leader reads the engines' reports. A [`ReportPublisher`] sends the changes to the other nodes, and a
//! [`ReportFollower`] keeps the state of a failure domain from them and detects when it missed one. See
//! `docs/design/peers.md`.

mod follower;
mod message;
mod publisher;

pub use self::{
    follower::{FrameOutcome, ReportFollower},
    message::{DemandReport, ReadyChange, ReportCatalogue, ReportFrame, RunnerState},
    publisher::{RELAY_LOAD_INTERVAL, ReportAudience, ReportPublisher},
};
