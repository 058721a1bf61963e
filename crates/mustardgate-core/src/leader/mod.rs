//! The leader of a failure domain: turns planned moves into orders, and follows these until their outcome is known.
//!
//! [`DomainLeader`] runs on every node of the domain and acts on the one that leads. It takes events and returns
//! actions. The reasons for each rule are in `docs/design/leader.md`.

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
