//! Open-loop load: arrivals do not wait for answers, and latency counts from when a request was due.

mod arrivals;
mod report;
mod request;
mod runner;

pub use self::{
    arrivals::{ArrivalSchedule, ScheduledRequest},
    report::{LatencySummary, LoadReport, TenantReport},
    request::{LoadTarget, RequestOutcome},
    runner::{LoadOptions, TenantLoad, run_load},
};
