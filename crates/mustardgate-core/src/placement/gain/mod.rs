//! Placement by marginal gain: a replica is added when the requests it lets be answered in time outweigh the moves.
//!
//! See `docs/design/placement.md`.

mod budget;
mod evict;
mod flow;
mod loss;
mod policy;
mod state;

pub use self::policy::{GainPolicy, GainSettings, RemoteReplicas};
