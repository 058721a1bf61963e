//! Placement by shares: replicas in proportion to demand, moved as fast as the weight store and runners allow.
//!
//! Meant for demand that moves to other models within seconds, where waiting for the best single move costs more than a
//! move that was not needed. See `docs/design/placement.md`.

mod ledger;
mod offers;
mod policy;
mod window;

pub use self::{
    policy::{SharePolicy, ShareSettings},
    window::{LoadAccount, LoadBound},
};
