//! Stand-in for a model runner whose answers are event streams that can be resumed.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Connection, Head, serve},
    record::Record,
    store::Store,
    wire::wire,
};

/// Requests that a runner runs at once.
const SLOTS: usize = 64;
/// Start time of the runners, in Unix milliseconds.
const BORN_MS: u64 = 1_700_000_000_000;
/// Model that all runners hold.
pub const MODEL: &str = "menu";
/// Service of the runners.
pub const SERVICE: &str = "assist";

/// The streams that a runner writes.
#[derive(Clone, Copy, Debug)]
pub struct StreamShape {
    /// Events of a stream.
    pub events: u64,
    /// Time before each event.
    pub pause: Duration,
    /// Difference between the identifiers of two events.
    pub step: u64,
    /// Version of the runner's software, which each event names.
    pub version: &'static str,
    /// One stream in so many is broken off behind its last event, before its end; none if it is zero.
    pub broken_one_in: u64,
}

/// How a run of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The answer was written to its end.
    Whole,
    /// The node closed the connection before.
    Abandoned,
    /// The runner broke the answer off.
    BrokenOff,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request.
    pub id: String,
    /// Its end.
    pub end: RunEnd,
}

/// The runs of all runners.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A runner.
#[derive(Debug)]
pub struct Runner {
    name: String,
    shape: StreamShape,
    record: Arc<Record>,
    runs: Runs,
    running: AtomicUsize,
    begun: AtomicU64,
}

impl Runner {
    /// Starts a runner and lists it in the store.
    ///
    /// # Errors
    /// The error if no port can be bound.
    pub fn start(name: &str, shape: StreamShape, store: &Store, record: Arc<Record>, runs: Runs) -> io::Result<()> {
        let runner = Self {
            name: name.to_owned(),
            shape,
            record,
            runs,
            running: AtomicUsize::new(0),
            begun: AtomicU64::new(0),
        };
        let address = serve(move |connection| runner.serve(connection))?;
        store.put(wire("runner_topic"), name, &entry(address, shape.version));
        Ok(())
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let _body = connection.read_body(&head)?;
            let path = head.word(1);
            if path == wire("report") {
                let fields = format!("{}: {}\r\n", wire("instance"), self.name);
                connection.answer(200, &fields, self.report().as_bytes())?;
            } else if path == wire("order") {
                // It holds the only model, so every order to load holds already.
                connection.answer(200, "", b"")?;
            } else if !self.run(&mut connection, &head)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request; returns whether the connection is kept.
    fn run(&self, connection: &mut Connection, head: &Head) -> io::Result<bool> {
        let id = head.field(wire("request_id")).unwrap_or_default().to_owned();
        let is_other = head
            .field(wire("expected"))
            .is_some_and(|expected| expected != self.name);
        if is_other || head.field(wire("model")) != Some(MODEL) || id.is_empty() {
            let fields = format!("{}: {id}\r\n{}: 1\r\n", wire("request_id"), wire("not_run"));
            connection.answer(421, &fields, b"")?;
            return Ok(true);
        }
        let after = head
            .field("last-event-id")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let number = self.begun.fetch_add(1, Ordering::Relaxed) + 1;
        let is_broken = self.shape.broken_one_in > 0 && number.is_multiple_of(self.shape.broken_one_in);
        self.record.write(&format!("run {id} at {} after {after}", self.name));
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let written = self.write_stream(connection, &id, after, running, is_broken);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let end = match written {
            Ok(()) if is_broken => RunEnd::BrokenOff,
            Ok(()) => RunEnd::Whole,
            Err(_) => RunEnd::Abandoned,
        };
        self.record.write(&format!("run {id} at {} ended: {end:?}", self.name));
        self.runs.lock().expect("no holder panics").push(Run { id, end });
        written.map(|()| !is_broken)
    }

    fn write_stream(
        &self,
        connection: &mut Connection,
        id: &str,
        after: u64,
        running: usize,
        is_broken: bool,
    ) -> io::Result<()> {
        let (request_id, seal, load) = (wire("request_id"), wire("seal"), wire("load"));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{request_id}: {id}\r\n{seal}: {}.{id}\r\n{load}: {running},0,{SLOTS}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.name
        );
        connection.write(head.as_bytes())?;
        let shape = &self.shape;
        for event in after / shape.step + 1..=shape.events {
            thread::sleep(shape.pause);
            let number = event * shape.step;
            connection.write_chunk(format!("id: {number}\ndata: piece {event} of {}\n\n", shape.version).as_bytes())?;
        }
        if is_broken { Ok(()) } else { connection.write_chunk(b"") }
    }

    fn report(&self) -> String {
        let active = self.running.load(Ordering::Relaxed);
        format!(
            r#"{{"stage":"colocated","models":[{{"name":"{MODEL}","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued":0,"active":{active},"kv_used":0,"kv_total":100000,"handles":0,"born":{BORN_MS}}}"#
        )
    }
}

/// Returns the entry of a runner in the store.
fn entry(address: SocketAddr, version: &str) -> String {
    format!(
        r#"{{"service":"{SERVICE}","address":"{address}","zone":"east","version":"{version}","slots":{SLOTS},"state":"ready","cold_left_ms":0,"stage":"colocated","models":[{{"name":"{MODEL}","version":1,"adapters":[]}}],"sequence":0,"born":{BORN_MS}}}"#
    )
}
