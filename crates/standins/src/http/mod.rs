//! The small HTTP/1.1 listener and client that the stand-in processes share.

mod client;
mod reply;
mod server;

pub use self::{
    client::{CallAnswer, CallError, call, json_request, open, plain_request},
    reply::{
        BadBody, BrokenStream, HttpReply, ReplyBody, bytes_response, json_body, json_reply, query_value, read_json,
        status_reply, stream_reply,
    },
    server::{HttpHandler, bind_all, serve_forever, serve_process, wait_for_stop},
};
