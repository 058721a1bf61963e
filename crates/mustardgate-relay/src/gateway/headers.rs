//! Header fields that concern one connection only, and the type of a body.

use hyper::{
    HeaderMap,
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
};

/// Fields that are never forwarded, in addition to those that `Connection` lists.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
    CONTENT_LENGTH,
];
/// Hop-by-hop fields of older peers.
const LEGACY_HOP_BY_HOP_HEADERS: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authenticate"];

/// Removes the hop-by-hop fields, including those that frame the body; the library sets its framing again.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    for name in LEGACY_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns whether a body has a length or chunks, so that its end is known to be one.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether a body is an event stream, according to its `Content-Type` field.
pub(super) fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = value.and_then(|value| value.split(';').next()).map(str::trim);
    media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case("text/event-stream"))
}
