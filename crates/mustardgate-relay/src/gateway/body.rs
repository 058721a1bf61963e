//! Bodies of requests, passed on or not.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use mustardgate::{
    buffers::{CollectError, collect_bytes},
    callers::CallerSlot,
};
use mustardgate_core::{buffers::BufferSource, clock, relay::CallerLimits};
use tokio::time;

use crate::context::RelayContext;

/// Bytes of a refused request that are read before its answer, and the longest time for that. A refusal that waits for the
/// rest of a body costs the link as much as the body, and a caller that stops short of its end would hold a place.
const MAX_REFUSED_BYTES: usize = 64 * 1024;
const REFUSED_TIME: Duration = Duration::from_millis(500);

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

/// Reads a little of the rest of a request that is refused, so that its connection can be kept; what is left is read after
/// the answer.
pub(super) async fn discard_refused(body: &mut Incoming, caller_slot: Option<&CallerSlot>) {
    discard_body(body, MAX_REFUSED_BYTES, REFUSED_TIME).await;
    if let Some(caller_slot) = caller_slot.filter(|_| !body.is_end_stream()) {
        caller_slot.linger();
    }
}

/// Why a body was not received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFailure {
    Malformed,
    TooSlow,
    TooLarge,
    /// The node has no room to keep it.
    NoRoom,
    /// It made no progress while the node was short of room.
    Evicted,
}

/// Receives the body of a request, which is kept until the request is answered.
pub(super) async fn receive_body(
    context: &Arc<RelayContext>,
    body: &mut Incoming,
    limits: CallerLimits,
    expires_at: Instant,
    caller_slot: Option<&CallerSlot>,
) -> Result<Bytes, BodyFailure> {
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(BodyFailure::TooLarge);
    }
    let time_left = expires_at.saturating_duration_since(clock::now());
    let buffers = context.buffers.guard(BufferSource::Callers);
    let collected = if let Some(caller_slot) = caller_slot {
        let mut body = caller_slot.receive(body);
        let signal = body.signal();
        let collecting = collect_bytes(&mut body, limits.max_body_bytes, buffers);
        tokio::select! {
            // A body that is whole counts first.
            biased;
            collected = time::timeout(time_left, collecting) => collected,
            () = signal.notified() => return Err(BodyFailure::Evicted),
        }
    } else {
        time::timeout(time_left, collect_bytes(body, limits.max_body_bytes, buffers)).await
    };
    match collected {
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
