//! Choice of the runner that answers a request.
//!
//! Candidates hold the weights ready and are neither leaving nor suspected. Among those within their concurrency limit
//! the nearest are preferred; one of them is chosen by prefix affinity or, for a request without a prefix, as the less
//! loaded of two drawn at random. See `docs/design/routing.md`.

mod affinity;
mod directory;
mod limit;
mod load;
mod runner;
mod selector;

pub use self::{
    affinity::{PrefixDigest, prefix_digest},
    limit::{ConcurrencyLimit, LimitSettings},
    load::LoadReport,
    runner::{AttemptOutcome, Availability, RunnerProfile, TicketError},
    selector::{Locality, RouteError, RouteRequest, RouteTicket, RoutingSettings, RunnerSelector, service_artifact},
};
