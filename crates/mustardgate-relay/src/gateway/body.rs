//! Bodies of requests that are not passed on.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use mustardgate_core::relay::CallerLimits;
use tokio::time;

/// Reads the rest of a body and drops it, as far as the limits on callers allow.
///
/// Closing a connection with unread bytes resets it, and the reset may overtake the answer.
pub(super) async fn discard_body(body: &mut Incoming, limits: CallerLimits) {
    let reading = async {
        let mut left = limits.max_body_bytes;
        while !body.is_end_stream() {
            let Some(Ok(frame)) = body.frame().await else { return };
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else { return };
            left = rest;
        }
    };
    // A caller that sends more slowly is answered before its request has arrived.
    let _is_read = time::timeout(limits.header_timeout, reading).await.is_ok();
}
