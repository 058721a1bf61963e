//! Placement by marginal gain: adds a replica when the requests that it lets meet their target outweigh the cost of
//! moves.
//!
//! See `docs/design/placement.md`.

mod budget;
mod evict;
mod flow;
mod lateness;
mod load_times;
mod policy;
mod state;

pub(in crate::placement) use self::evict::{ReplicaPlace, ResidenceTracker};
pub use self::{
    load_times::LoadTimes,
    policy::{GainPolicy, GainSettings, RemoteReplicas},
};
