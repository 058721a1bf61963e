//! The leader of a failure domain: from planned moves to orders whose outcome is known.
//!
//! [`DomainLeader`] runs on every node of the domain and acts on the one that leads. Events go in, actions come out.
//! The reasons for each rule are in `docs/design/leader.md`.

mod answers;
mod domain;
mod messages;
mod moves;
mod orders;
mod runner;
mod settings;
mod writer;

pub use self::{
    domain::DomainLeader,
    messages::{LeaderAction, LeaderEvent, MoveRefusal},
    settings::{DomainConfig, LeaderSettings, LeaderTenure, RunnerConfig},
};
