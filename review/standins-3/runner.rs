//! A stand-in of a service's runner: answers every request whole, and writes its entry into the store.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Head, MessageReader, answer_bytes},
    record::Record,
    store::Store,
    wire::{call_name, field, keyed_topic},
};

/// Time between two entries of a runner.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Largest share of its answers that a runner writes again, in percent.
const REPEATED_PERCENT: u64 = 3;

/// How a runner answers.
#[derive(Clone, Debug)]
pub struct RunnerOptions {
    /// Identity.
    pub id: String,
    /// Service.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Models that it holds; none of a service without models.
    pub models: Vec<String>,
    /// Time that a request takes, and between two events of a stream.
    pub pace: Duration,
    /// Time until a stream begins, head included.
    pub first_event: Duration,
    /// Whether it writes some of its answers again, where the next answer on the connection is due.
    pub repeats_answers: bool,
    /// Events of a stream.
    pub events: u32,
    /// Bytes of an event's data, or of the body of another answer.
    pub bytes: usize,
}

/// A runner.
#[derive(Debug)]
pub struct Runner {
    options: RunnerOptions,
    address: SocketAddr,
    record: Arc<Record>,
    runs: Mutex<Vec<String>>,
    ended: AtomicUsize,
    counts: Mutex<AnswerCounts>,
}

/// Answers that a runner gave, and those that it wrote again.
#[derive(Debug, Default)]
struct AnswerCounts {
    given: u64,
    repeated: u64,
}

impl AnswerCounts {
    /// Counts an answer; returns whether it is written again, which one that may be is as far as the share allows.
    fn count(&mut self, may_be_repeated: bool) -> bool {
        self.given += 1;
        let is_repeated = may_be_repeated && (self.repeated + 1) * 100 <= self.given * REPEATED_PERCENT;
        self.repeated += u64::from(is_repeated);
        is_repeated
    }
}

impl Runner {
    /// Starts a runner, which writes its entry until the process ends.
    pub fn start(options: RunnerOptions, store: &Arc<Store>, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Arc::new(Self {
            options,
            address: listener.local_addr()?,
            record: Arc::clone(record),
            runs: Mutex::default(),
            ended: AtomicUsize::default(),
            counts: Mutex::default(),
        });
        let (listed, store) = (Arc::clone(&runner), Arc::clone(store));
        listed.write_entry(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                listed.write_entry(&store);
            }
        });
        let served = Arc::clone(&runner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = Arc::clone(&served);
                thread::spawn(move || runner.serve(stream));
            }
        });
        Ok(runner)
    }

    /// Returns the identifiers of the requests that ran, in their order.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// Returns the number of streams that were written to their ends.
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::Relaxed)
    }

    fn write_entry(&self, store: &Store) {
        let RunnerOptions { id, service, slots, .. } = &self.options;
        let models = self.models();
        let stage = if self.options.models.is_empty() {
            String::new()
        } else {
            format!("\"stage\":\"colocated\",\"models\":{models},")
        };
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold_left_ms\":0,{stage}\"sequence\":0,\"born\":1}}",
            self.address
        );
        store.put(&keyed_topic("servers"), id, &entry);
    }

    fn models(&self) -> String {
        let names = self.options.models.iter();
        let models: Vec<String> = names
            .map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"))
            .collect();
        format!("[{}]", models.join(","))
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = MessageReader::new(stream.try_clone()?);
        let mut late_copy: Option<Vec<u8>> = None;
        while let Some(head) = reader.head()? {
            let _body = reader.body(&head)?;
            if let Some(copy) = late_copy.take() {
                self.record
                    .line(&format!("{} writes an earlier answer again", self.options.id));
                stream.write_all(&copy)?;
            }
            let id = head.get(&field("request-id")).unwrap_or_default().to_owned();
            let is_repeated = {
                let mut counts = self.counts.lock().expect("no holder panics");
                counts.count(self.options.repeats_answers && id.is_empty())
            };
            if id.is_empty() {
                let answer = self.answer_question(&head);
                stream.write_all(&answer)?;
                late_copy = is_repeated.then_some(answer);
                continue;
            }
            if head.get(&field("expect-instance")) != Some(&self.options.id) {
                stream.write_all(&answer_bytes("421 Misdirected Request", &[self.name_field()], b""))?;
                continue;
            }
            self.run(&mut stream, &head, &id)?;
        }
        Ok(())
    }

    /// Answers what is no request of a client: the report of an engine, or 400 because the identifier is missing.
    fn answer_question(&self, head: &Head) -> Vec<u8> {
        self.record.line(&format!(
            "{} is asked {} {}",
            self.options.id,
            head.method(),
            head.path()
        ));
        if call_name(head.path()) != Some("report") || self.options.models.is_empty() {
            let fields = [format!("{}: 1", field("not-executed")), self.name_field()];
            return answer_bytes("400 Bad Request", &fields, b"");
        }
        let report = format!(
            "{{\"stage\":\"colocated\",\"models\":{},\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,\
             \"kv_used\":0,\"kv_total\":100000,\"handles\":0,\"born\":1}}",
            self.models()
        );
        answer_bytes("200 OK", &[self.name_field()], report.as_bytes())
    }

    fn name_field(&self) -> String {
        format!("{}: {}", field("instance-id"), self.options.id)
    }

    fn run(&self, stream: &mut TcpStream, head: &Head, id: &str) -> io::Result<()> {
        self.runs.lock().expect("no holder panics").push(id.to_owned());
        self.record
            .line(&format!("{} runs {id} ({})", self.options.id, head.path()));
        let fields = [
            format!("{}: {id}", field("request-id")),
            format!("{}: seal-{id}", field("server-seal")),
        ];
        if self.options.events == 0 {
            thread::sleep(self.options.pace);
            return stream.write_all(&answer_bytes("200 OK", &fields, &vec![b'x'; self.options.bytes]));
        }
        thread::sleep(self.options.first_event);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}\r\n{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            fields[0], fields[1]
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=self.options.events {
            thread::sleep(self.options.pace);
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(self.options.bytes));
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.ended.fetch_add(1, Ordering::Relaxed);
        self.record.line(&format!("{} has ended {id}", self.options.id));
        Ok(())
    }
}
