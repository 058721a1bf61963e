//! The leader role: performs the actions that `mustardgate_core::leader` requests from the log and the engines.

mod domain;
mod observer;
mod placement;
mod status;
mod task;

pub use self::{
    observer::LeaderObserver,
    status::LeadershipStatus,
    task::{LeaderTask, leader_channel},
};
