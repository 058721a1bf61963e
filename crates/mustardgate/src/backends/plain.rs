//! Calls to plain services over HTTP.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use mustardgate_core::ids::{IdempotencyKey, RequestId};
use mustardgate_protocol::callers::{ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};

use crate::http::{CallError, HttpClient, HttpReply};

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// Media type of the body, if the caller sent one.
    pub content_type: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
}

/// Client of plain services.
#[derive(Clone, Debug)]
pub struct PlainClient {
    client: HttpClient,
    max_answer_bytes: usize,
}

impl PlainClient {
    /// Creates a client that accepts answers up to `max_answer_bytes`.
    pub fn new(client: HttpClient, max_answer_bytes: usize) -> Self {
        Self {
            client,
            max_answer_bytes,
        }
    }

    /// Makes one attempt at a call and receives the whole answer.
    ///
    /// # Errors
    /// [`CallError`], whose verdict says whether the call may have run. An answer that names another request or
    /// attempt counts as broken.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &PlainCall,
        attempt: u32,
        timeout: Duration,
    ) -> Result<HttpReply, CallError> {
        let request = build_request(call, attempt);
        let reply = self
            .client
            .call(address, request, timeout, self.max_answer_bytes)
            .await?;
        if !matches_attempt(&reply.headers, call, attempt) {
            return Err(CallError::BrokenAnswer { address });
        }
        Ok(reply)
    }
}

fn build_request(call: &PlainCall, attempt: u32) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    if let Some(content_type) = &call.content_type {
        headers.insert(CONTENT_TYPE, content_type.clone());
    }
    insert_text(headers, REQUEST_ID_HEADER, &call.request);
    insert_text(headers, ATTEMPT_HEADER, &attempt.to_string());
    if let Some(key) = &call.key {
        insert_text(headers, IDEMPOTENCY_KEY_HEADER, key);
    }
    request
}

fn insert_text(headers: &mut HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns whether an answer belongs to the attempt; identifiers that the service does not repeat are not checked.
fn matches_attempt(headers: &HeaderMap, call: &PlainCall, attempt: u32) -> bool {
    let is_absent_or_equal = |name: &str, expected: &str| {
        headers
            .get(name)
            .is_none_or(|value| value.as_bytes() == expected.as_bytes())
    };
    is_absent_or_equal(REQUEST_ID_HEADER, &call.request) && is_absent_or_equal(ATTEMPT_HEADER, &attempt.to_string())
}
