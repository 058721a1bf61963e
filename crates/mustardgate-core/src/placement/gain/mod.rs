//! Placement by marginal gain: a replica is added when the requests it lets be answered in time outweigh the moves.
//!
//! See `docs/design/placement.md`.

mod budget;
mod evict;
mod flow;
mod load_times;
mod loss;
mod policy;
mod state;

pub(in crate::placement) use self::evict::{ReplicaPlace, ResidenceBook};
pub use self::{
    load_times::LoadTimes,
    policy::{GainPolicy, GainSettings, RemoteReplicas},
};
