//! Open-loop load: arrivals do not wait for answers, and latency is measured from the time when a request was due.

mod arrivals;
mod report;
mod request;
mod sender;

pub use self::{
    arrivals::{ArrivalSchedule, ScheduledRequest},
    report::{LatencySummary, LoadReport, TenantReport},
    request::{LoadTarget, RequestOutcome},
    sender::{LoadOptions, TenantLoad, run_load},
};
