//! Requests that another node sent to a listener for callers as to a runner, because the list names its address.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::{Request, Response, body::Incoming};
use metrics::counter;
use mustardgate::events;
use mustardgate_core::clock;
use slog::o;

use super::{
    answer::{RelayBody, full_body},
    body::discard_refused,
};
use crate::{client::no_runner_answer, context::RelayContext};

/// Refuses such a request, whatever it asks for.
///
/// If it were passed on, the other node could not tell whether it ran, and two nodes that are listed as runners would pass
/// it to each other until its deadline.
pub(super) async fn refuse_misdirected(
    context: &RelayContext,
    request: Request<Incoming>,
    address: SocketAddr,
) -> Response<RelayBody> {
    let received_at = clock::now();
    counter!("mustardgate_misdirected_requests_total").increment(1);
    let (head, mut body) = request.into_parts();
    discard_refused(&mut body, head.extensions.get()).await;
    let dialect = &context.ports.dialect;
    let mut response = no_runner_answer(address, full_body(Bytes::new()));
    let id = dialect.read_request(&head, received_at).map(|request| request.id);
    if let Ok(id) = &id {
        dialect.write_local_answer(response.headers_mut(), id);
    }
    let values = o!("address" => address.to_string());
    context
        .log
        .write(events::RELAY_REQUEST_MISDIRECTED, &id.unwrap_or_default(), values);
    response
}
