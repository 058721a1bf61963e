//! Bodies of requests that are not passed on.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time;

/// Reads the rest of a body and drops it, up to a number of bytes and for a time.
///
/// Closing a connection with unread bytes resets it, and the reset may overtake the answer.
pub(crate) async fn discard_body(body: &mut Incoming, max_bytes: usize, timeout: Duration) {
    let reading = async {
        let mut left = max_bytes;
        while !body.is_end_stream() {
            let Some(Ok(frame)) = body.frame().await else { return };
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else { return };
            left = rest;
        }
    };
    // A peer that sends more slowly is answered before its request has arrived.
    let _is_read = time::timeout(timeout, reading).await.is_ok();
}
