//! Removal of hop-by-hop header fields.

use hyper::{
    HeaderMap,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
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
