//! Callers that send a request in two parts at given times and classify how it ended.

use std::{net::SocketAddr, time::Duration};

use mustardgate_core::verdict::RunVerdict;
use mustardgate_protocol::callers::{CHAT_PATH, ErrorAnswer, SERVICES_PREFIX};
use mustardgate_standins::performance::{MODEL, SERVICE};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{self, Instant},
};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A call that must not run twice and has no idempotency key.
    Order,
    /// A call with an idempotency key.
    KeyedOrder,
    /// A generation that is answered as a whole.
    Chat,
    /// A generation that is answered as a stream.
    Stream,
}

/// Which part of a request is sent before the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentPart {
    /// Nothing; the connection is open.
    Nothing,
    /// A part of the head.
    HalfHead,
    /// The head and a part of the body.
    HalfBody,
}

/// One request of a table.
#[derive(Clone, Debug)]
pub struct RequestRow {
    /// What it asks for.
    pub kind: RequestKind,
    /// What is sent before the signal.
    pub sent: SentPart,
    /// Time of the last byte after the signal in milliseconds; negative before it.
    pub last_byte_ms: i64,
    /// Tokens that a generation asks for.
    pub tokens: u32,
    /// Distinguishes the request from the others.
    pub number: usize,
    /// Bearer key.
    pub bearer: String,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A whole answer.
    Whole,
    /// An error of the node with its verdict.
    Told {
        /// Stable code.
        code: String,
        /// Verdict.
        verdict: RunVerdict,
        /// Whether the caller is told when to come back.
        has_retry_after: bool,
        /// Whether the error ends a stream that had begun.
        is_mid_stream: bool,
    },
    /// The connection closed without a whole answer.
    Closed {
        /// What had been received.
        received: String,
    },
}

impl RequestRow {
    /// Returns the idempotency key of the request.
    pub fn key(&self) -> String {
        format!("order-{}", self.number)
    }

    fn text(&self) -> (String, String) {
        let (path, key, body) = match self.kind {
            RequestKind::Order => (
                format!("{SERVICES_PREFIX}{SERVICE}/orders"),
                String::new(),
                "{}".to_owned(),
            ),
            RequestKind::KeyedOrder => {
                let header = format!("idempotency-key: {}\r\n", self.key());
                (format!("{SERVICES_PREFIX}{SERVICE}/orders"), header, "{}".to_owned())
            }
            RequestKind::Chat | RequestKind::Stream => {
                let messages = [json!({"role": "user", "content": format!("a menu [seed:{}]", self.number)})];
                let stream = self.kind == RequestKind::Stream;
                let body = json!({"model": MODEL, "messages": messages, "stream": stream, "max_tokens": self.tokens});
                (CHAT_PATH.to_owned(), String::new(), body.to_string())
            }
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {}\r\n{key}content-length: {}\r\n\r\n",
            self.bearer,
            body.len()
        );
        (head, body)
    }

    /// Opens a connection, sends the first part, and the rest at its time after `signal`; returns how it ended.
    pub async fn run(&self, address: SocketAddr, signal: Instant) -> RequestEnd {
        let (head, body) = self.text();
        let whole = format!("{head}{body}");
        let split = match self.sent {
            SentPart::Nothing => 0,
            SentPart::HalfHead => head.len() / 2,
            SentPart::HalfBody => head.len() + body.len() / 2,
        };
        let mut stream = TcpStream::connect(address).await.expect("the node listens");
        stream.set_nodelay(true).expect("the option exists");
        stream.write_all(&whole.as_bytes()[..split]).await.expect("sent");
        let offset = Duration::from_millis(self.last_byte_ms.unsigned_abs());
        let at = if self.last_byte_ms < 0 {
            signal - offset
        } else {
            signal + offset
        };
        time::sleep_until(at).await;
        // A node that has already refused the request may have closed the connection.
        drop(stream.write_all(&whole.as_bytes()[split..]).await);
        read_end(&mut stream).await
    }
}

/// Reads an answer to its end and classifies it.
pub async fn read_end(stream: &mut TcpStream) -> RequestEnd {
    let mut received = Vec::new();
    let mut buffer = vec![0; 16_384];
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if let Some(end) = classify(&text) {
            return end;
        }
        match time::timeout(ANSWER_TIMEOUT, stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => received.extend_from_slice(&buffer[..count]),
            _ => return RequestEnd::Closed { received: text },
        }
    }
}

/// Returns how a request ended, or `None` while its answer is not whole.
fn classify(text: &str) -> Option<RequestEnd> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        if !body.ends_with("0\r\n\r\n") {
            return None;
        }
        if body.contains("data: [DONE]") {
            return Some(RequestEnd::Whole);
        }
        let error = body.lines().rfind(|line| line.starts_with("data: {\"error\""))?;
        return Some(told(error.trim_start_matches("data: "), true));
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?
        .parse()
        .ok()?;
    if body.len() < length {
        return None;
    }
    if head.starts_with("http/1.1 200") {
        return Some(RequestEnd::Whole);
    }
    Some(told(body, false))
}

fn told(body: &str, is_mid_stream: bool) -> RequestEnd {
    let answer: ErrorAnswer = serde_json::from_str(body).expect("errors are typed");
    RequestEnd::Told {
        code: answer.error.code.to_string(),
        verdict: answer.error.verdict,
        has_retry_after: answer.error.retry_after_ms.is_some(),
        is_mid_stream,
    }
}
