//! Liveness of nodes and backend servers: the platform's list merged with local suspicion.
//!
//! The list is the only agreed source, but it lags. Heartbeats inside a failure domain and digests between domains
//! pass on what one node has already seen. A suspicion is local and never proves that a node is dead, so safety must
//! not depend on it. See `docs/design/membership.md`.

mod marks;
mod message;
mod settings;
mod suspicion;
mod view;

pub use self::{
    message::{DomainDigest, LeavingMark, NodeHeartbeat},
    settings::{LEAVING_GRACE, MembershipSettings},
    suspicion::{AdaptiveTimeout, FixedTimeout, SuspicionPolicy, default_suspicion},
    view::{MemberStatus, MembershipCounters, MembershipView, PropagationScope},
};
