//! HTTP clients for the resource API and for callers' requests, and a reader of their streams.

mod api;
mod http;
mod sse;

pub use self::{
    api::{ApiClient, SendOutcome},
    http::{HttpClient, HttpReply, insert_bearer_key, json_request},
    sse::EventReader,
};
