//! Clients that send streaming requests and resume a stream whose connection breaks.

use std::{
    collections::BTreeSet,
    io,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::Record, runner::MODEL, wire::wire};

/// Host of the requests.
pub const HOST: &str = "kitchen.example";
/// Path of the requests.
pub const PATH: &str = "/drafts/today";
/// Time that a client allows for a whole stream.
const DEADLINE: Duration = Duration::from_secs(15);

/// What a client got of one request.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Request.
    pub id: String,
    /// Node that it was sent to.
    pub node: usize,
    /// Status, if a head arrived.
    pub status: Option<u16>,
    /// Identifier of the last event that the client has.
    pub last: u64,
    /// Versions of the runners that made its events.
    pub versions: BTreeSet<String>,
    /// Whether the answer ended as its framing says.
    pub is_whole: bool,
}

/// How a client asks for the rest of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Return {
    /// Node that it asks.
    pub node: usize,
    /// Time after the end of the request before.
    pub pause: Duration,
}

/// A client with a connection that it keeps.
#[derive(Debug)]
pub struct StreamClient {
    name: String,
    nodes: Vec<SocketAddr>,
    record: Arc<Record>,
    kept: Option<Connection>,
    sent: u64,
}

impl StreamClient {
    /// Creates a client of these nodes.
    pub fn new(name: &str, nodes: Vec<SocketAddr>, record: Arc<Record>) -> Self {
        Self {
            name: name.to_owned(),
            nodes,
            record,
            kept: None,
            sent: 0,
        }
    }

    /// Asks a node for a stream; while it is not whole, asks for its rest, the first on `spare`, if
    /// there is such a connection, and the others on new ones. Returns what came of each request.
    pub fn fetch(&mut self, node: usize, returns: &[Return], spare: Option<Connection>) -> Vec<Received> {
        let ends_at = Instant::now() + DEADLINE;
        let mut received = vec![self.ask(node, 0, ends_at)];
        self.kept = spare.or(self.kept.take());
        for Return { node, pause } in returns {
            let last = received.last().expect("there is a first one");
            if last.is_whole {
                break;
            }
            let after = last.last;
            thread::sleep(*pause);
            received.push(self.ask(*node, after, ends_at));
        }
        received
    }

    /// Returns a connection to a node on which a request was answered before, for a route that never existed.
    ///
    /// # Errors
    /// The error if the request is not answered.
    pub fn keep_spare(&mut self, node: usize) -> io::Result<Connection> {
        let mut connection = Connection::new(TcpStream::connect(self.nodes[node])?)?;
        let id = format!("{}-spare", self.name);
        self.record.write(&format!("sent {id} to node {node}, for no route"));
        let (request_id, deadline) = (wire("request_id"), wire("deadline"));
        let fields = format!("Host: {HOST}\r\n{request_id}: {id}\r\n{deadline}: 1000\r\n");
        connection.write(format!("GET /none/ HTTP/1.1\r\n{fields}\r\n").as_bytes())?;
        let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        connection.read_body(&head)?;
        self.record.write(&format!("answer {id}: status {}", head.word(1)));
        Ok(connection)
    }

    fn ask(&mut self, node: usize, after: u64, ends_at: Instant) -> Received {
        self.sent += 1;
        let mut received = Received {
            id: format!("{}-{}", self.name, self.sent),
            node,
            last: after,
            ..Received::default()
        };
        let id = received.id.clone();
        self.record.write(&format!("sent {id} to node {node} after {after}"));
        let ended = self.exchange(&mut received, ends_at);
        received.is_whole = ended.is_ok() && received.status == Some(200);
        let status = received.status.map_or("none".to_owned(), |status| status.to_string());
        let end = match ended {
            Ok(()) => "whole".to_owned(),
            Err(error) => format!("closed before its end ({})", error.kind()),
        };
        let last = received.last;
        self.record
            .write(&format!("answer {id}: status {status}, last event {last}, {end}"));
        received
    }

    fn exchange(&mut self, received: &mut Received, ends_at: Instant) -> io::Result<()> {
        let left = ends_at
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        let mut connection = match self.kept.take() {
            Some(kept) => kept,
            None => Connection::new(TcpStream::connect(self.nodes[received.node])?)?,
        };
        connection.socket().set_read_timeout(Some(left))?;
        let mut request = format!(
            "POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\n{}: {}\r\n{}: {}\r\n{}: {MODEL}\r\n{}: 100,40\r\n",
            wire("request_id"),
            received.id,
            wire("deadline"),
            left.as_millis(),
            wire("model"),
            wire("usage"),
        );
        if received.last > 0 {
            request.push_str(&format!("Last-Event-Id: {}\r\n", received.last));
        }
        request.push_str("Content-Length: 4\r\n\r\nmenu");
        connection.write(request.as_bytes())?;
        let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        received.status = head.word(1).parse().ok();
        if received.status == Some(200) {
            while let Some(chunk) = connection.read_chunk()? {
                for line in String::from_utf8_lossy(&chunk).lines() {
                    let number = line.strip_prefix("id:").and_then(|value| value.trim().parse().ok());
                    received.last = number.unwrap_or(received.last);
                    let version = line.rsplit_once(" of ").filter(|_| line.starts_with("data:"));
                    received.versions.extend(version.map(|(_, version)| version.to_owned()));
                }
            }
        } else {
            connection.read_body(&head)?;
        }
        let is_closing = head
            .field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        self.kept = (!is_closing).then_some(connection);
        Ok(())
    }
}
