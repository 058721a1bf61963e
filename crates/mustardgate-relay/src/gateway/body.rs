//! Bodies of requests, passed on or not.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use mustardgate::buffers::{CollectError, collect_bytes};
use mustardgate_core::{
    buffers::BufferSource,
    clock,
    relay::{CallerLimits, RelayRequest},
};
use tokio::time;

use crate::context::RelayContext;

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

/// Reads the rest of a request that is refused, while its caller waits.
pub(super) async fn discard_refused(body: &mut Incoming, limits: CallerLimits, request: &RelayRequest) {
    let expires_at = request.expires_at(limits.header_timeout);
    let time_left = expires_at.saturating_duration_since(clock::now());
    discard_body(body, limits.max_body_bytes, time_left).await;
}

/// Why a body was not received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFailure {
    Malformed,
    TooSlow,
    TooLarge,
    /// The node has no room to keep it.
    NoRoom,
}

/// Receives the body of a request, which is kept until the request is answered.
pub(super) async fn receive_body(
    context: &Arc<RelayContext>,
    body: &mut Incoming,
    limits: CallerLimits,
    expires_at: Instant,
) -> Result<Bytes, BodyFailure> {
    let time_left = expires_at.saturating_duration_since(clock::now());
    let buffers = context.buffers.guard(BufferSource::Callers);
    let collecting = collect_bytes(body, limits.max_body_bytes, buffers);
    match time::timeout(time_left, collecting).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(CollectError::TooLong { .. })) => Err(BodyFailure::TooLarge),
        Ok(Err(CollectError::NoRoom { .. })) => Err(BodyFailure::NoRoom),
        Ok(Err(CollectError::Broken)) => Err(BodyFailure::Malformed),
        Err(_elapsed) => Err(BodyFailure::TooSlow),
    }
}

/// Returns what the configuration in force allows callers.
pub(super) fn caller_limits(context: &RelayContext) -> CallerLimits {
    let active = context.routes.current();
    active.map(|active| active.config.limits).unwrap_or_default()
}
