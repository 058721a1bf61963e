//! Liveness of nodes and backend servers: the platform's list merged with local suspicion.
//!
//! The list is the only agreed source and lags. Heartbeats inside a failure domain and digests between domains carry
//! what one node has already seen to the others. A suspicion is local and never proves a death, so that nothing unsafe
//! may follow from it. See `docs/design/membership.md`.

mod marks;
mod message;
mod settings;
mod suspicion;
mod view;

pub use self::{
    message::{DomainDigest, LeavingMark, NodeHeartbeat},
    settings::{LEAVING_GRACE, MembershipSettings},
    suspicion::{AdaptiveTimeout, FixedTimeout, SuspicionPolicy, default_suspicion},
    view::{MemberStatus, MembershipCounters, MembershipView, NewsScope},
};
