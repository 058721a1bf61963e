//! The leader: the one node at a time that orders runners to load and evict models and adapters.
//!
//! The log decides which node holds the lease. Every order carries the runner's identity, the runner's order count and
//! a fencing token derived from the offset of the lease, so that the runner executes it at most once and never after a
//! restart.

mod adapters;
mod clock;
mod leadership;
mod lease;
mod load_snapshot;
mod orders;
mod permits;
mod plan;
mod quotas;
mod runner_orders;
mod watch;

pub use self::{
    adapters::{load_adapter, request_adapter},
    clock::{BootClock, LeaseClock},
    leadership::{LeaderTerm, MAX_LEADER_OVERLAP, SharedLeadership},
    lease::LeaseTask,
    permits::{issue_permit, request_permit},
    plan::PlanTask,
    quotas::{
        answer_from_pool, answer_quota_report, begin_quota_report, end_quota_report, exchange_in_pool, exchange_quotas,
        exchange_without_leader,
    },
    watch::WatchTask,
};
