//! Builds the listeners' answers and receives bodies.

use std::{convert::Infallible, fmt::Debug, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Body, Frame},
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;
use snafu::Snafu;
use tokio::time;

/// Body of every answer that a listener gives.
pub type AnswerBody = UnsyncBoxBody<Bytes, Infallible>;

/// Why a body was not received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive within {timeout:?}"))]
    TooSlow {
        /// Time within which the body had to arrive.
        timeout: Duration,
    },
    /// The connection broke.
    #[snafu(display("the connection broke before the body had arrived"))]
    Broken,
}

/// Builds an answer with a value as JSON.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    let text = serde_json::to_vec(value).expect("map keys in answers are strings");
    content_answer(status, "application/json", Bytes::from(text))
}

/// Builds an answer with bytes of any media type.
pub fn bytes_answer(status: StatusCode, content_type: Option<HeaderValue>, content: Bytes) -> Response<AnswerBody> {
    let mut answer = Response::new(Full::new(content).boxed_unsync());
    *answer.status_mut() = status;
    if let Some(content_type) = content_type {
        answer.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    answer
}

/// Builds an answer with plain text.
pub fn text_answer(status: StatusCode, text: impl Into<String>) -> Response<AnswerBody> {
    content_answer(status, "text/plain; charset=utf-8", Bytes::from(text.into()))
}

/// Builds an answer without a body.
pub fn empty_answer(status: StatusCode) -> Response<AnswerBody> {
    let mut answer = Response::new(Full::new(Bytes::new()).boxed_unsync());
    *answer.status_mut() = status;
    answer
}

fn content_answer(status: StatusCode, content_type: &'static str, content: Bytes) -> Response<AnswerBody> {
    bytes_answer(status, Some(HeaderValue::from_static(content_type)), content)
}

/// Builds an answer that sends chunks as the stream yields them; the body has no error, so the connection closes
/// abruptly only if the stream's owner panics.
pub fn streamed_answer<S>(status: StatusCode, content_type: &'static str, chunks: S) -> Response<AnswerBody>
where
    S: Stream<Item = Bytes> + Send + 'static,
{
    let frames = chunks.map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)));
    let mut answer = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
        .headers_mut()
        .insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    answer
}

/// Receives a whole body of at most `limit` bytes within `timeout`.
///
/// # Errors
/// [`BodyError`] when the body is too long or too slow, or the connection breaks.
pub async fn collect_body<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Debug,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collecting = Limited::new(body, limit).collect();
    match time::timeout(timeout, collecting).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong { limit }),
        Ok(Err(_)) => Err(BodyError::Broken),
        Err(_) => Err(BodyError::TooSlow { timeout }),
    }
}
