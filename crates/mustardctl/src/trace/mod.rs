//! Trace of one request, built from the logs of several nodes.

mod line;
mod request;

pub use self::{
    line::LogLine,
    request::{RequestTrace, TraceStep, trace_request},
};
