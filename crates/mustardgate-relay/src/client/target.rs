//! Header fields by which a node recognises requests that another one sent to it as to a runner.
//!
//! Anyone may list a node's address as a runner's, and a node can't tell it from a runner's. See
//! `docs/incidents/2026-12-05-lost-odd-entries.md`.

use std::net::SocketAddr;

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONNECTION, HeaderName, HeaderValue},
};

/// Address to which a request was sent as to a runner's.
const TARGET: HeaderName = HeaderName::from_static("forward-target");
/// Address at which no runner is, in the refusal of a node.
const NO_RUNNER: HeaderName = HeaderName::from_static("forward-no-runner");

/// What listens at the address of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerKind {
    /// A runner, as far as the list tells.
    #[default]
    Runner,
    /// Another node, which is asked as such.
    Node,
}

/// The field of requests to a runner that names the runner's address.
///
/// It names the address, because a runner may copy the fields of a request into another one of its own: only at that very
/// address the request is refused.
#[derive(Clone, Debug)]
pub(super) struct TargetField {
    address: SocketAddr,
    value: HeaderValue,
}

impl TargetField {
    /// Creates the field for an address.
    pub(super) fn new(address: SocketAddr) -> Self {
        let value = address.to_string().parse();
        Self {
            address,
            value: value.expect("an address is a valid field value"),
        }
    }

    /// Sets the field in a request, or removes it, whatever its caller has set.
    pub(super) fn write(field: Option<&Self>, headers: &mut HeaderMap) {
        match field {
            Some(field) => headers.insert(TARGET, field.value.clone()),
            None => headers.remove(TARGET),
        };
    }
}

/// Returns whether a request was sent to the address as to a runner's.
pub fn names_target(headers: &HeaderMap, address: SocketAddr) -> bool {
    names_address(headers, &TARGET, address)
}

/// Returns the refusal of a request that was sent to the address as to a runner's: it did not run. What follows it on the
/// connection is not meant for a node either.
pub fn no_runner_answer<B>(address: SocketAddr, body: B) -> Response<B> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    let headers = response.headers_mut();
    headers.insert(NO_RUNNER, TargetField::new(address).value);
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns whether an answer is such a refusal of a request with the field.
pub(super) fn is_no_runner_answer<B>(answer: &Response<B>, field: Option<&TargetField>) -> bool {
    let names_target = field.is_some_and(|field| names_address(answer.headers(), &NO_RUNNER, field.address));
    names_target && answer.status() == StatusCode::MISDIRECTED_REQUEST
}

fn names_address(headers: &HeaderMap, name: &HeaderName, address: SocketAddr) -> bool {
    let named = headers.get(name).and_then(|value| value.to_str().ok());
    let named = named.and_then(|value| value.parse::<SocketAddr>().ok());
    named
        .is_some_and(|named| named.port() == address.port() && named.ip().to_canonical() == address.ip().to_canonical())
}
