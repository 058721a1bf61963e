//! HTTP server of the listeners, and HTTP client for backend servers and the platform.

mod answer;
mod client;
mod connection;
mod listen;
mod queue;
mod server;
mod steady;
mod timer;
mod turns;

pub(crate) use self::client::{json_request, plain_request};
pub use self::{
    answer::{
        AnswerBody, BodyError, bytes_answer, collect_body, empty_answer, json_answer, streamed_answer, text_answer,
    },
    client::{CallError, CallLimits, HttpClient, HttpReply, StreamReply},
    connection::{catch_panic, drive_connection},
    listen::bind_listener,
    queue::close_listener,
    server::{ConnectionLimits, serve_connections},
    steady::BodyPace,
    timer::{SilenceLimit, SilenceTimer},
};
