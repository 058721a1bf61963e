//! Case: a caller that reads slowly loses the rest of an answer that its runner has given whole.

mod caller;
mod deployment;
mod http;
mod node;
mod record;
mod runner;
mod small_buffer;
mod store;
mod wire;

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use caller::{Call, CallKind, CallerConnection};
use deployment::{Deployment, DeploymentShape};
use record::{Record, cannot_run, case_folder, has_trouble};
use small_buffer::connect_with_buffer;

/// Callers, and the bytes that each one's machine holds for it until they are read.
const CALLERS: usize = 4;
const BUFFER_BYTES: i32 = 4_096;
/// Time for which they do not read, once they have the head of the answer.
const PAUSE: Duration = Duration::from_secs(5);
/// Time that they wait for their answers.
const DEADLINE: Duration = Duration::from_secs(20);
/// Time from the signal to the requests, which is within `config_apply_ms`.
const AFTER_SIGNAL: Duration = Duration::from_millis(500);

/// Takes one answer; returns whether it came whole.
fn take_answer(record: &Record, address: SocketAddr, index: usize) -> bool {
    let call = Call {
        kind: CallKind::Stream,
        id: format!("notes-{index}"),
        deadline: DEADLINE,
    };
    let began_at = Instant::now();
    let connected = connect_with_buffer(address, BUFFER_BYTES).and_then(CallerConnection::over);
    let mut connection = connected.unwrap_or_else(|error| cannot_run(&error.to_string()));
    let head = connection
        .begin(&call, DEADLINE)
        .unwrap_or_else(|error| cannot_run(&error.to_string()));
    record.line(&format!("{} is sent and answered {}", call.id, head.status()));
    if has_trouble() {
        thread::sleep(PAUSE);
    }
    let mut bytes = 0;
    let end = loop {
        match connection.next_chunk() {
            Ok(Some(chunk)) => bytes += chunk.len(),
            Ok(None) => break None,
            Err(error) => break Some(error),
        }
    };
    let elapsed = began_at.elapsed().as_millis();
    let outcome = end
        .as_ref()
        .map_or("whole".to_owned(), |error| format!("broken off ({error})"));
    record.tell(&format!("{}: {outcome} after {bytes} bytes and {elapsed} ms", call.id));
    end.is_none()
}

fn main() -> ExitCode {
    let record = Arc::new(Record::create(&case_folder()));
    let shape = DeploymentShape {
        events: 30,
        bytes: 250,
        pace: Duration::from_millis(30),
        ..DeploymentShape::default()
    };
    let deployment = Deployment::start(&record, &shape);
    let node = deployment.start_node("edge-1", 260, 4_100);
    let address = node.addresses.callers;
    // No disruption for `contact_ms` before the requests.
    thread::sleep(Duration::from_millis(4_500));
    node.touch_settings();
    node.signal("HUP");
    record.tell("the settings change, and the node gets SIGHUP");
    thread::sleep(AFTER_SIGNAL);
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let record = Arc::clone(&record);
            thread::spawn(move || take_answer(&record, address, index))
        })
        .collect();
    let whole = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller does not panic"))
        .filter(|is_whole| *is_whole)
        .count();
    let ended: usize = deployment.engines.iter().map(|engine| engine.ended()).sum();
    record.tell(&format!(
        "{ended} of {CALLERS} answers were given whole by their runners, {whole} arrived whole"
    ));
    if ended < CALLERS {
        cannot_run("a runner broke off its answer");
    }
    ExitCode::from(u8::from(whole < CALLERS))
}
