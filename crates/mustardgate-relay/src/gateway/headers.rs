//! Header fields that concern only one connection.

use hyper::{
    HeaderMap,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
};

/// Fields that are never passed on, beside those that `Connection` names.
const HOP_FIELDS: [HeaderName; 7] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
    CONTENT_LENGTH,
];
/// Fields of older peers that concern only one connection.
const HOP_NAMES: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authenticate"];

/// Removes the fields that concern only one connection; the body's framing is set anew by the library.
pub(super) fn remove_hop_fields(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_FIELDS) {
        headers.remove(name);
    }
    for name in HOP_NAMES {
        headers.remove(name);
    }
}
