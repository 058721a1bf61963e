//! The leader: one node at a time that orders models and adapters onto runners.
//!
//! The lease is settled by the log. Every order carries the offset of the lease as fencing token, the runner's count of
//! orders and its identity, so that it is carried out at most once and never after a restart of the runner.

mod adapters;
mod clock;
mod desk;
mod lease;
mod orders;
mod plan;
mod watch;

pub use self::{
    adapters::{load_adapter, want_adapter},
    clock::{BootClock, LeaseClock},
    desk::LeaderDesk,
    lease::LeaseTask,
    plan::PlanTask,
    watch::WatchTask,
};
