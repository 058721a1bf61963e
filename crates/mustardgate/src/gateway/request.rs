//! Reads caller requests: limits, keys, deadlines and bodies.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{
    HeaderMap,
    body::{Body, Incoming},
    header::{AUTHORIZATION, HeaderName, HeaderValue},
};
use mustardgate_core::{
    buffers::BufferSource,
    clock,
    ids::{IdempotencyKey, RequestId},
    verdict::RunVerdict,
};
use mustardgate_protocol::callers::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use tokio::time;

use super::errors::CallerError;
use crate::{
    buffers::{CollectError, collect_bytes},
    callers::CallerSlot,
    context::NodeContext,
    http::BodyError,
    settings::CallerSettings,
};

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;
/// Time after which unfinished requests without progress have left their room.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Refuses a request with too many header fields.
pub(super) fn check_headers(headers: &HeaderMap, settings: &CallerSettings) -> Result<(), CallerError> {
    if headers.len() > settings.max_headers {
        return Err(CallerError::TooManyHeaders {
            limit: settings.max_headers,
        });
    }
    Ok(())
}

/// Returns the digest of the bearer key, which identifies the tenant in the configuration.
pub fn bearer_digest(headers: &HeaderMap) -> Option<SmolStr> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?.trim();
    (!key.is_empty()).then(|| key_digest(key))
}

/// Returns the lower-case hexadecimal SHA-256 digest of a key.
pub fn key_digest(key: &str) -> SmolStr {
    const HEX: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(key.as_bytes()) {
        text.push(char::from(HEX[usize::from(byte >> 4)]));
        text.push(char::from(HEX[usize::from(byte & 15)]));
    }
    text.into()
}

/// Returns the time by which the caller wants the whole answer.
pub(super) fn read_deadline(headers: &HeaderMap, settings: &CallerSettings) -> Result<Instant, CallerError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(clock::now() + settings.default_deadline());
    };
    let invalid = |reason: &str| CallerError::InvalidHeader {
        name: DEADLINE_HEADER,
        reason: reason.to_owned(),
    };
    let text = value.to_str().map_err(|_error| invalid("it is not text"))?;
    let millis: u64 = text
        .parse()
        .map_err(|_error| invalid("it is not a number of milliseconds"))?;
    let deadline = Duration::from_millis(millis);
    if deadline.is_zero() || deadline > MAX_DEADLINE {
        return Err(invalid("it is not between 1 ms and 1 h"));
    }
    Ok(clock::now() + deadline)
}

/// Returns the caller's idempotency key, if there is one.
pub(super) fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, CallerError> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let invalid = |reason: &str| CallerError::InvalidHeader {
        name: IDEMPOTENCY_KEY_HEADER,
        reason: reason.to_owned(),
    };
    let key = value.to_str().map_err(|_error| invalid("it is not visible ASCII"))?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(invalid("it must have 1 to 128 bytes"));
    }
    Ok(Some(key.into()))
}

/// Receives the body within the listener's limits and the node's memory, unless a planned stop ends first. The body holds
/// its room until its last reference is dropped.
pub(super) async fn read_body(
    mut body: Incoming,
    caller_slot: &CallerSlot,
    context: &NodeContext,
) -> Result<Bytes, CallerError> {
    let settings = &context.settings.callers;
    let limit = settings.max_body_bytes;
    if body.size_hint().lower() > limit as u64 {
        let source = BodyError::TooLong { limit };
        return Err(CallerError::Body { source });
    }
    let mut received = caller_slot.receive(&mut body);
    let signal = received.signal();
    let buffers = context.buffers.guard(BufferSource::Callers);
    let collecting = collect_bytes(&mut received, limit, buffers);
    let timeout = settings.receive_timeout();
    let collected = tokio::select! {
        biased;
        collected = time::timeout(timeout, collecting) => collected,
        () = signal.notified() => Ok(Err(CollectError::NoRoom { bytes: 0 })),
        retry_after = context.drain.too_late(Duration::ZERO) => {
            return Err(CallerError::Stopping { verdict: RunVerdict::NotRun, retry_after });
        }
    };
    let source = match collected {
        Ok(Ok(bytes)) => return Ok(bytes),
        Ok(Err(CollectError::NoRoom { .. })) => return Err(no_room()),
        Ok(Err(CollectError::TooLong { .. })) => BodyError::TooLong { limit },
        Ok(Err(CollectError::Broken)) => BodyError::Broken,
        Err(_elapsed) => BodyError::TooSlow { timeout },
    };
    Err(CallerError::Body { source })
}

/// Returns the error for a request that the node has no memory for.
pub(super) fn no_room() -> CallerError {
    CallerError::NoRoom {
        retry_after: NO_ROOM_RETRY_AFTER,
    }
}

/// Adds the request identifier to the response, so that a caller can quote it to operators.
pub(super) fn set_request_id(headers: &mut HeaderMap, request: &RequestId) {
    if let Ok(value) = HeaderValue::from_str(request) {
        headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
}
