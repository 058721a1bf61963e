//! HTTP towards nodes: the resource API, and callers' requests with their streams.

mod api;
mod http;
mod sse;

pub use self::{
    api::{ApiClient, PutOutcome},
    http::{ClientAnswer, HttpConnector, bearer_header, json_body},
    sse::EventReader,
};
