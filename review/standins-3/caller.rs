//! Callers: requests over own or kept connections, and what is answered.

use std::{
    io::{self, ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{
    deployment::{HOST, MODEL, ONCE_PATH, SAFE_PATH, STREAM_PATH},
    http::{Head, MessageReader},
    wire::field,
};

/// Time in which a connection is established.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Kind of a request, by its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May be repeated.
    Safe,
    /// Must run at most once.
    Once,
    /// A stream, which may be resumed.
    Stream,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Kind.
    pub kind: CallKind,
    /// Identifier of the attempt.
    pub id: String,
    /// Time that the caller waits.
    pub deadline: Duration,
    /// Model that a stream asks for instead of the declared one.
    pub model: Option<String>,
}

impl Call {
    /// Returns the bytes of the request.
    pub fn bytes(&self) -> Vec<u8> {
        let (method, path, body) = match self.kind {
            CallKind::Safe => ("GET", SAFE_PATH, ""),
            CallKind::Once => ("POST", ONCE_PATH, "one lunch box"),
            CallKind::Stream => ("POST", STREAM_PATH, "write the notes"),
        };
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {}\r\n{}: {}\r\n",
            field("request-id"),
            self.id,
            field("deadline-ms"),
            self.deadline.as_millis()
        );
        if self.kind == CallKind::Stream {
            let model = self.model.as_deref().unwrap_or(MODEL);
            text += &format!("{}: {model}\r\n{}: 1460,570\r\n", field("model"), field("token-usage"));
        }
        if !body.is_empty() {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        (text + "\r\n" + body).into_bytes()
    }
}

/// A connection of a caller to a node.
#[derive(Debug)]
pub struct CallerConnection {
    stream: TcpStream,
    reader: MessageReader,
}

impl CallerConnection {
    /// Connects to a node.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Self::over(TcpStream::connect_timeout(&address, CONNECT_TIME)?)
    }

    /// Takes over a connection.
    pub fn over(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let reader = MessageReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request and reads the head of its answer, for which the caller waits for `wait`.
    pub fn begin(&mut self, call: &Call, wait: Duration) -> io::Result<Head> {
        self.stream.set_read_timeout(Some(wait))?;
        self.stream.write_all(&call.bytes())?;
        self.reader.head()?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    /// Reads the body of an answer.
    pub fn finish(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        self.reader.body(head)
    }

    /// Reads the next chunk of an answer; `None` at its end.
    pub fn next_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.reader.chunk()
    }

    /// Sends a request and reads its whole answer within its deadline.
    pub fn exchange(&mut self, call: &Call) -> io::Result<Head> {
        let head = self.begin(call, call.deadline)?;
        self.finish(&head)?;
        Ok(head)
    }
}

/// Sends a request over a connection of its own.
pub fn call_once(address: SocketAddr, call: &Call) -> io::Result<Head> {
    CallerConnection::open(address)?.exchange(call)
}
