//! Stand-in for a runner without models, whose answers have a length.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{Connection, Head, serve},
    record::Record,
    store::Store,
    wire::wire,
};

/// Service of the runners.
pub const PLAIN_SERVICE: &str = "orders";
/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(15);
/// Requests that a runner runs at once.
const SLOTS: usize = 6;

/// Requests that ran, each as often as it did.
pub type PlainRuns = Arc<Mutex<Vec<String>>>;

/// A runner.
#[derive(Debug)]
pub struct PlainRunner {
    name: String,
    answer_bytes: usize,
    record: Arc<Record>,
    runs: PlainRuns,
}

impl PlainRunner {
    /// Starts a runner whose answers have so many bytes, and lists it in the store.
    ///
    /// # Errors
    /// The error if no port can be bound.
    pub fn start(
        name: &str,
        answer_bytes: usize,
        store: &Store,
        record: Arc<Record>,
        runs: PlainRuns,
    ) -> io::Result<()> {
        let runner = Self {
            name: name.to_owned(),
            answer_bytes,
            record,
            runs,
        };
        let address = serve(move |connection| runner.serve(connection))?;
        store.put(wire("runner_topic"), name, &entry(address));
        Ok(())
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let _body = connection.read_body(&head)?;
            if head.word(1) == wire("report") {
                let fields = format!("{}: {}\r\n", wire("instance"), self.name);
                connection.answer(200, &fields, br#"{"models":[],"busy":false,"sequence":0,"born":1}"#)?;
            } else {
                self.run(&mut connection, &head)?;
            }
        }
        Ok(())
    }

    fn run(&self, connection: &mut Connection, head: &Head) -> io::Result<()> {
        let id = head.field(wire("request_id")).unwrap_or_default();
        let named = format!("{}: {id}\r\n", wire("request_id"));
        if head
            .field(wire("expected"))
            .is_some_and(|expected| expected != self.name)
        {
            let fields = format!("{named}{}: 1\r\n", wire("not_run"));
            return connection.answer(421, &fields, b"");
        }
        self.record.write(&format!("run {id} at {}", self.name));
        self.runs.lock().expect("no holder panics").push(id.to_owned());
        thread::sleep(WORK_TIME);
        let fields = format!(
            "{named}{}: {}.{id}\r\n{}: 1,0,{SLOTS}\r\n",
            wire("seal"),
            self.name,
            wire("load")
        );
        let written = connection.answer(200, &fields, &vec![b'x'; self.answer_bytes]);
        let end = if written.is_ok() { "whole" } else { "abandoned" };
        self.record.write(&format!("run {id} at {} ended: {end}", self.name));
        written
    }
}

/// Returns the entry of a runner in the store.
fn entry(address: SocketAddr) -> String {
    format!(
        r#"{{"service":"{PLAIN_SERVICE}","address":"{address}","zone":"east","version":"v1","slots":{SLOTS},"state":"ready","cold_left_ms":0,"sequence":0,"born":1700000000000}}"#
    )
}
