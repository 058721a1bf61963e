//! The leader role: runs the decisions of `mustardgate_core::leader` against the log and the engines.

mod base;
mod domain;
mod observer;
mod status;
mod task;

pub use self::{
    observer::LeaderObserver,
    status::LeadershipStatus,
    task::{LeaderTask, leader_channel},
};
