//! The cases: each plays one disruption beside streams of clients, and counts the requests that a sound runner answered
//! and whose clients got no whole answer.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
    process,
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    client::{HOST, Received, Return, StreamClient},
    node::{Deployment, Node, NodeAddresses},
    plain::{PLAIN_SERVICE, PlainRunner, PlainRuns},
    record::Record,
    runner::{MODEL, RunEnd, Runner, Runs, SERVICE, StreamShape},
    slow::SlowClient,
    store::Store,
    wire::wire,
};

/// Requests without a whole answer that the rule allows.
const ALLOWED: usize = 3;
/// Length of the answers of runners without models, in bytes.
const ANSWER_BYTES: usize = 3 * 1024 * 1024;
/// Time without disruption before the first request.
const CALM: Duration = Duration::from_secs(4);

/// Version of the runners where it does not matter.
const VERSION: &str = "v1";
/// Time that a route allows where it does not matter.
const LONG_TIMEOUT: Duration = Duration::from_secs(15);

/// Processes and stand-ins of a case.
pub(crate) struct Stage {
    store: Arc<Store>,
    /// The nodes.
    pub(crate) nodes: Vec<Node>,
    runs: Runs,
    plain_runs: PlainRuns,
    /// The record.
    pub(crate) record: Arc<Record>,
    scratch: PathBuf,
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.nodes.clear();
        // What is left of the folder harms nobody.
        let _removed = fs::remove_dir_all(&self.scratch);
    }
}

impl Stage {
    /// Starts two nodes, with a runner for each shape and a time that the streaming route allows.
    ///
    /// # Errors
    /// The error if something could not be started.
    pub(crate) fn start(root: &Path, record: &Path, shapes: &[StreamShape], timeout: Duration) -> io::Result<Self> {
        let record = Arc::new(Record::create(record)?);
        let scratch = env::temp_dir().join(format!("mustardgate-review-{}", process::id()));
        fs::create_dir_all(&scratch)?;
        let (store, address) = Store::start()?;
        store.put(wire("operator_topic"), "config", &configuration(timeout));
        let runs = Runs::default();
        for (index, shape) in shapes.iter().enumerate() {
            let name = format!("runner-{index}");
            Runner::start(&name, *shape, &store, Arc::clone(&record), Arc::clone(&runs))?;
        }
        let plain_runs = PlainRuns::default();
        for index in 0..3 {
            let (name, runs) = (format!("plain-{index}"), Arc::clone(&plain_runs));
            PlainRunner::start(&name, ANSWER_BYTES, &store, Arc::clone(&record), runs)?;
        }
        let deployment = Deployment {
            root: root.to_owned(),
            scratch: scratch.clone(),
            store: address,
            nodes: vec![NodeAddresses::free()?, NodeAddresses::free()?],
        };
        let mut stage = Self {
            store,
            nodes: Vec::new(),
            runs,
            plain_runs,
            record,
            scratch,
        };
        for index in 0..deployment.nodes.len() {
            stage.nodes.push(deployment.start(index)?);
        }
        for node in &stage.nodes {
            node.wait_ready()?;
        }
        thread::sleep(CALM);
        Ok(stage)
    }

    /// Starts a further runner.
    ///
    /// # Errors
    /// The error if no port can be bound.
    pub(crate) fn add_runner(&self, name: &str, shape: StreamShape) -> io::Result<()> {
        self.record.write(&format!("{name} of {} is listed", shape.version));
        let (record, runs) = (Arc::clone(&self.record), Arc::clone(&self.runs));
        Runner::start(name, shape, &self.store, record, runs)
    }

    /// Removes the entry of a runner, which goes on serving.
    pub(crate) fn remove_entry(&self, name: &str) {
        self.record.write(&format!("the entry of {name} is removed"));
        self.store.put(wire("runner_topic"), name, "");
    }

    /// Returns a client of the nodes.
    pub(crate) fn client(&self, name: &str) -> StreamClient {
        let nodes = self.nodes.iter().map(|node| node.addresses.callers).collect();
        StreamClient::new(name, nodes, Arc::clone(&self.record))
    }

    /// Returns whether the rule held: counts the requests to undisturbed nodes that a runner took and did not break off,
    /// and whose connections were closed without a whole answer.
    fn judge(&self, received: &[Received], disturbed: Option<usize>) -> bool {
        // Runners notice the end of a connection with their next event.
        thread::sleep(Duration::from_millis(500));
        let runs = self.runs.lock().expect("no holder panics");
        let is_served = |request: &Received| {
            let mut of_request = runs.iter().filter(|run| run.id == request.id);
            of_request.any(|run| run.end != RunEnd::BrokenOff)
        };
        let broken = received.iter().filter(|request| !request.is_whole);
        let lost: Vec<&Received> = broken
            .filter(|request| Some(request.node) != disturbed && is_served(request))
            .collect();
        for request in &lost {
            let Received { id, node, last, .. } = request;
            self.record
                .write(&format!("lost {id} at node {node}, last event {last}"));
        }
        let text = format!("{} requests, {} lost, {ALLOWED} allowed", received.len(), lost.len());
        self.record.write(&text);
        println!("{text}");
        lost.len() <= ALLOWED
    }
}

fn at_once(node: usize) -> Return {
    Return {
        node,
        pause: Duration::ZERO,
    }
}

/// A faulty runner breaks a few of its streams off behind their last events. Returns whether the rule held.
///
/// # Errors
/// The error if the case could not run.
pub fn broken_ends(root: &Path, record: &Path, has_trouble: bool) -> io::Result<bool> {
    const CLIENTS: usize = 8;
    const STREAMS: usize = 250;
    let sound = StreamShape {
        events: 8,
        pause: Duration::from_millis(10),
        step: 1,
        version: VERSION,
        broken_one_in: 0,
    };
    let faulty = StreamShape {
        broken_one_in: if has_trouble { 20 } else { 0 },
        ..sound
    };
    let stage = Stage::start(root, record, &[faulty, sound, sound], LONG_TIMEOUT)?;
    let clients = (0..CLIENTS).map(|index| {
        let mut client = stage.client(&format!("client-{index}"));
        let (own, other) = (index % 2, (index + 1) % 2);
        thread::spawn(move || {
            let fetched = (0..STREAMS).flat_map(|_| client.fetch(own, &[at_once(other)], None));
            fetched.collect::<Vec<_>>()
        })
    });
    let clients: Vec<_> = clients.collect();
    let received = clients
        .into_iter()
        .flat_map(|client| client.join().expect("no client panics"));
    Ok(stage.judge(&received.collect::<Vec<_>>(), None))
}

/// A node is killed while streams run whose identifiers rise by more than one. Returns whether the rule held.
///
/// # Errors
/// The error if the case could not run.
pub fn rising_steps(root: &Path, record: &Path, has_trouble: bool) -> io::Result<bool> {
    const CLIENTS: usize = 12;
    let shape = StreamShape {
        events: 40,
        pause: Duration::from_millis(150),
        step: 3,
        version: VERSION,
        broken_one_in: 0,
    };
    let mut stage = Stage::start(root, record, &[shape; 3], LONG_TIMEOUT)?;
    let clients = (0..CLIENTS).map(|index| {
        let mut client = stage.client(&format!("client-{index}"));
        let spare = client.keep_spare(1)?;
        Ok(thread::spawn(move || {
            client.fetch(0, &[at_once(1), at_once(1)], Some(spare))
        }))
    });
    let clients = clients.collect::<io::Result<Vec<_>>>()?;
    thread::sleep(Duration::from_millis(2_500));
    if has_trouble {
        stage.record.write("node 0 is killed");
        stage.nodes[0].kill()?;
    }
    let received = clients
        .into_iter()
        .flat_map(|client| client.join().expect("no client panics"));
    let received: Vec<Received> = received.collect();
    Ok(stage.judge(&received, has_trouble.then_some(0)))
}

/// Clients stop reading for a while amid their answers. Returns whether the rule held.
///
/// # Errors
/// The error if the case could not run.
pub fn slow_readers(root: &Path, record: &Path, has_trouble: bool) -> io::Result<bool> {
    const CLIENTS: usize = 16;
    let rest = if has_trouble {
        Duration::from_secs(5)
    } else {
        Duration::ZERO
    };
    let stage = Stage::start(root, record, &[], LONG_TIMEOUT)?;
    let clients = (0..CLIENTS).map(|index| {
        let record = Arc::clone(&stage.record);
        let mut client = SlowClient::connect(stage.nodes[index % 2].addresses.callers)?;
        Ok(thread::spawn(move || {
            let ids = (0..2).map(|number| format!("client-{index}-{number}"));
            let orders = ids.zip([Duration::ZERO, rest]).map(|(id, rest)| {
                record.write(&format!("sent {id}"));
                let answer = client.order(&id, rest);
                record.write(&format!("answer {id}: {answer:?}"));
                (id, answer.is_ok_and(|(status, _)| status == 200))
            });
            orders.collect::<Vec<_>>()
        }))
    });
    let clients = clients.collect::<io::Result<Vec<_>>>()?;
    let answered = clients
        .into_iter()
        .flat_map(|client| client.join().expect("no client panics"));
    let answered: Vec<(String, bool)> = answered.collect();
    let runs = stage.plain_runs.lock().expect("no holder panics");
    let lost = answered
        .iter()
        .filter(|(id, is_whole)| !is_whole && runs.contains(id))
        .count();
    let text = format!("{} requests, {lost} lost, {ALLOWED} allowed", answered.len());
    stage.record.write(&text);
    println!("{text}");
    Ok(lost <= ALLOWED)
}

fn configuration(timeout: Duration) -> String {
    let timeout_ms = timeout.as_millis();
    format!(
        r#"{{"version":1,"routes":[{{"name":"drafts","host":"{HOST}","path_prefix":"/drafts/","kind":"streaming","timeout_ms":{timeout_ms},"target_latency_ms":1500,"priority":0,"service":"{SERVICE}","max_attempts":2,"session_affinity":true,"resumable":true,"target_gap_ms":400}},{{"name":"orders","host":"{HOST}","path_prefix":"/orders/","kind":"unsafe","timeout_ms":15000,"target_latency_ms":1000,"priority":2,"service":"{PLAIN_SERVICE}","max_attempts":1,"session_affinity":false,"resumable":false}}],"services":[{{"name":"{PLAIN_SERVICE}","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}},{{"name":"{SERVICE}","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity_tokens":163837,"weights_mb":200000.0,"adapter_slots":8,"loads_per_s":2.4,"models":[{{"name":"{MODEL}","weights_mb":72700.0,"load_time_s":6.4,"adapters":0,"adapter_mb":66.0,"warm_s":0.6,"disk_load_s":1.3}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}
