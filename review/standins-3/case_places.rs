//! Case: connections that callers keep take all places of a node, which then takes no new one.

mod caller;
mod deployment;
mod http;
mod node;
mod record;
mod runner;
mod store;
mod wire;

use std::{
    io,
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, Barrier},
    thread,
    time::{Duration, Instant},
};

use caller::{Call, CallKind, CallerConnection};
use deployment::{Deployment, DeploymentShape};
use node::Node;
use record::{Record, cannot_run, case_folder, has_trouble};

/// Memory and descriptors of the machines of the sheet.
const MEMORY_MB: u32 = 260;
const DESCRIPTORS: u32 = 4_100;
/// Callers that keep a connection each, and callers that come at once beside them.
const KEPT_CALLERS: usize = 728;
const CROWD: usize = 113;
/// Crowds that come until one of them finds the last free places, and the time between two of them.
const CROWDS: usize = 8;
const CROWD_PAUSE: Duration = Duration::from_millis(400);
/// Callers that try to connect afterwards, and for how long: `contact_ms` and half a second.
const NEW_CALLERS: usize = 8;
const CONTACT_TIME: Duration = Duration::from_millis(3_500);
/// Time for which a caller waits for its request to be read.
const PATIENCE: Duration = Duration::from_secs(1);
/// Kept connections over which another request is sent at the end.
const ASKED_AGAIN: usize = 20;
/// Longest time between the requests on a kept connection: four fifths of `idle_timeout_ms`.
const KEPT_TIME: Duration = Duration::from_secs(12);

fn check(id: String) -> Call {
    Call {
        kind: CallKind::Safe,
        id,
        deadline: Duration::from_millis(1_500),
        model: None,
    }
}

/// Sends a request over a new connection; returns it if the node keeps it.
fn connect(address: SocketAddr, id: String) -> io::Result<Option<CallerConnection>> {
    let mut connection = CallerConnection::open(address)?;
    let head = connection.begin(&check(id), PATIENCE)?;
    connection.finish(&head)?;
    let is_kept = head.status() == 200 && head.get("connection") != Some("close");
    Ok(is_kept.then_some(connection))
}

/// Connects callers one after the other, each with one request.
fn connect_in_turn(address: SocketAddr, count: usize, threads: usize) -> Vec<CallerConnection> {
    let connecting: Vec<_> = (0..threads)
        .map(|thread| {
            thread::spawn(move || {
                let ids = (thread..count).step_by(threads).map(|index| format!("kept-{index}"));
                ids.filter_map(|id| connect(address, id).ok().flatten())
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let joined = connecting
        .into_iter()
        .flat_map(|thread| thread.join().expect("a caller does not panic"));
    joined.collect()
}

/// Connects callers at the same moment; returns the connections that the node keeps, and how many callers got no answer.
fn connect_at_once(address: SocketAddr, crowd: usize) -> (Vec<CallerConnection>, usize) {
    let barrier = Arc::new(Barrier::new(CROWD));
    let connecting: Vec<_> = (0..CROWD)
        .map(|index| {
            let barrier = Arc::clone(&barrier);
            thread::spawn(move || {
                barrier.wait();
                connect(address, format!("crowd-{crowd}-{index}"))
            })
        })
        .collect();
    let (mut kept, mut unanswered) = (Vec::new(), 0);
    for thread in connecting {
        match thread.join().expect("a caller does not panic") {
            Ok(connection) => kept.extend(connection),
            Err(_) => unanswered += 1,
        }
    }
    (kept, unanswered)
}

/// Has new callers try to get an answer for a while, each over a new connection each second; returns tries and answers.
fn try_anew(record: &Arc<Record>, address: SocketAddr) -> (usize, usize) {
    let began_at = Instant::now();
    let trying: Vec<_> = (0..NEW_CALLERS)
        .map(|caller| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                let (mut tries, mut answers) = (0, 0);
                while began_at.elapsed() < CONTACT_TIME {
                    let id = format!("new-{caller}-{tries}");
                    let outcome = connect(address, id.clone());
                    record.line(&format!(
                        "{id}: {}",
                        outcome
                            .as_ref()
                            .map_or_else(io::Error::to_string, |_| "answered".to_owned())
                    ));
                    tries += 1;
                    answers += usize::from(outcome.is_ok());
                    thread::sleep(Duration::from_millis(20));
                }
                (tries, answers)
            })
        })
        .collect();
    let counts = trying
        .into_iter()
        .map(|thread| thread.join().expect("a caller does not panic"));
    counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

fn is_ready(record: &Record, node: &Node) -> bool {
    let readiness = node.readiness();
    record.line(&format!("readiness {readiness:?}"));
    matches!(readiness, Ok(200))
}

fn main() -> ExitCode {
    let record = Arc::new(Record::create(&case_folder()));
    let deployment = Deployment::start(&record, &DeploymentShape::default());
    let node = deployment.start_node("edge-1", MEMORY_MB, DESCRIPTORS);
    let address = node.addresses.callers;
    let began_at = Instant::now();
    let mut kept = connect_in_turn(address, KEPT_CALLERS, 8);
    record.tell(&format!("{} callers keep their connections", kept.len()));
    if has_trouble() {
        for crowd in 0..CROWDS {
            let (mut connections, unanswered) = connect_at_once(address, crowd);
            record.tell(&format!(
                "{CROWD} callers come at once: {} connections are kept, {unanswered} callers get no answer",
                connections.len()
            ));
            if unanswered > 0 {
                kept.append(&mut connections);
                break;
            }
            drop(connections);
            thread::sleep(CROWD_PAUSE);
        }
    }
    let was_ready = is_ready(&record, &node);
    let (tries, answers) = try_anew(&record, address);
    let is_still_ready = is_ready(&record, &node);
    if began_at.elapsed() > KEPT_TIME {
        cannot_run("the callers would have given up their connections by now");
    }
    let again = kept.iter_mut().take(ASKED_AGAIN).enumerate();
    let served = again.filter_map(|(index, connection)| connection.exchange(&check(format!("again-{index}"))).ok());
    let served = served.count();
    record.tell(&format!(
        "{NEW_CALLERS} new callers tried {tries} times in {} ms and got {answers} answers; ready before and after: \
         {was_ready} {is_still_ready}; {served} of {ASKED_AGAIN} kept connections serve the next request",
        CONTACT_TIME.as_millis()
    ));
    ExitCode::from(u8::from(answers == 0 && was_ready && is_still_ready))
}
