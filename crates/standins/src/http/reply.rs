//! Builds the replies of the stand-ins and reads the bodies and queries of their requests.

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

/// Error with which a stand-in breaks a connection off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the stand-in broke the connection off"))]
pub struct BrokenStream;

/// Body of a reply: whole, or a stream that may break.
pub type ReplyBody = BoxBody<Bytes, BrokenStream>;

/// A reply, or `None` to close the connection without one, which simulates a lost answer.
pub type HttpReply = Option<Response<ReplyBody>>;

/// Builds a body that holds a value as JSON.
pub fn json_body<T: Serialize>(value: &T) -> ReplyBody {
    let text = serde_json::to_vec(value).expect("messages of the stand-ins are plain data");
    Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed()
}

/// Builds a reply with a value as its JSON body.
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    let mut response = Response::new(json_body(value));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Some(response)
}

/// Builds a response with raw bytes as its body.
pub fn bytes_response(content: impl Into<Bytes>) -> Response<ReplyBody> {
    Response::new(Full::new(content.into()).map_err(|never| match never {}).boxed())
}

/// Builds a reply without a body.
pub fn status_reply(status: StatusCode) -> HttpReply {
    let mut response = Response::new(Full::default().map_err(|never| match never {}).boxed());
    *response.status_mut() = status;
    Some(response)
}

/// Builds a reply that streams server-sent events.
pub fn stream_reply<S>(events: S) -> HttpReply
where
    S: Stream<Item = Result<Bytes, BrokenStream>> + Send + Sync + 'static,
{
    let body = StreamBody::new(events.map(|event| event.map(Frame::data)));
    let mut response = Response::new(BodyExt::boxed(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Some(response)
}

/// A request body that is not the JSON expected.
#[derive(Debug, Snafu)]
#[snafu(display("the request body is not valid for this path: {source}"))]
pub struct BadBody {
    source: serde_json::Error,
}

impl BadBody {
    /// Returns a reply with status 400 and the text of the error.
    pub fn reply(&self) -> HttpReply {
        json_reply(StatusCode::BAD_REQUEST, &serde_json::json!({"error": self.to_string()}))
    }
}

/// Reads the body of a request as JSON.
///
/// # Errors
/// [`BadBody`], whose reply the handler returns.
pub fn read_json<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, BadBody> {
    serde_json::from_slice(request.body()).context(BadBodySnafu)
}

/// Returns the number under `name` in the query of a request, if there is one.
pub fn query_value(request: &Request<Bytes>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| if key == name { value.parse().ok() } else { None })
}
