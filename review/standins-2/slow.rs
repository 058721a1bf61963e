//! Clients that read the answers to their requests slowly.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use crate::{client::HOST, http::Connection, wire::wire};

/// Bytes that a client reads before it rests.
const FIRST_BYTES: usize = 64 * 1024;
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 15_000;

/// A client with a connection that it keeps.
#[derive(Debug)]
pub struct SlowClient {
    connection: Connection,
}

impl SlowClient {
    /// Connects to a node.
    ///
    /// # Errors
    /// The error if no connection is made.
    pub fn connect(node: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            connection: Connection::new(TcpStream::connect(node)?)?,
        })
    }

    /// Sends a request and reads its answer, with a rest after the first bytes; returns its status and the length of its
    /// body.
    ///
    /// # Errors
    /// The error if the connection ends before the answer does.
    pub fn order(&mut self, id: &str, rest: Duration) -> io::Result<(u16, usize)> {
        let (request_id, deadline) = (wire("request_id"), wire("deadline"));
        let fields = format!("Host: {HOST}\r\n{request_id}: {id}\r\n{deadline}: {DEADLINE_MS}\r\n");
        let request = format!("POST /orders/box HTTP/1.1\r\n{fields}Content-Length: 3\r\n\r\nbox");
        self.connection.write(request.as_bytes())?;
        let head = self.connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length = head
            .field("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        let first = FIRST_BYTES.min(length);
        self.connection.read_exact(&mut body[..first])?;
        if length > first {
            thread::sleep(rest);
        }
        self.connection.read_exact(&mut body[first..])?;
        Ok((head.word(1).parse().unwrap_or(0), length))
    }
}
