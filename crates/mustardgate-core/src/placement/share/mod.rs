//! Proportional placement: replicas in proportion to demand, moved as fast as the weight store and the runners allow.
//!
//! Suited to demand that shifts to other models within seconds, where waiting for the best single move costs more than
//! an unnecessary move. See `docs/design/placement.md`.

mod candidates;
mod policy;
mod round;
mod rows;
mod targets;
mod window;

pub use self::{
    policy::{SharePolicy, ShareSettings},
    round::PlanEffort,
    window::{LoadAccount, LoadBound},
};
