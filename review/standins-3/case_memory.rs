//! Case: names of models that nobody declared stay in the leader's memory until the platform ends its process.

mod caller;
mod deployment;
mod http;
mod node;
mod record;
mod runner;
mod store;
mod wire;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use caller::{Call, CallKind, CallerConnection};
use deployment::{Deployment, DeploymentShape};
use node::{Node, NodeAddresses, NodeSettings};
use record::{Record, case_folder, has_trouble};

/// Nodes, and callers at each of them.
const NODES: usize = 3;
const CALLERS: usize = 8;
/// Time between two requests of a caller.
const PACE: Duration = Duration::from_millis(6);
/// Bytes of the name of a model; the head stays within `max_header_bytes`, 16,384.
const NAME_BYTES: usize = 15_000;
/// Ends of processes that break the rule, and the number of machines on which they are.
const ENDS: usize = 3;
const MACHINES: usize = 2;
/// Time for which the callers send, if the rule holds.
const LENGTH: Duration = Duration::from_secs(90);
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time between two looks at the memory of the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// A machine with its process.
struct Machine {
    settings: NodeSettings,
    addresses: NodeAddresses,
    node: Node,
}

/// What all callers count.
#[derive(Default)]
struct Counts {
    is_over: AtomicBool,
    sent: AtomicU64,
    refused: AtomicU64,
    ordinary: AtomicU64,
    ordinary_served: AtomicU64,
}

/// Sends requests for models that are not declared, each over a kept connection.
fn ask_for_unknown(address: SocketAddr, caller: usize, counts: &Counts) {
    let mut kept = None;
    let mut number = 0;
    while !counts.is_over.load(Ordering::Relaxed) {
        thread::sleep(PACE);
        number += 1;
        let name = if has_trouble() {
            format!("{address}-{caller}-{number}-")
        } else {
            "the-same".to_owned()
        };
        let call = Call {
            kind: CallKind::Stream,
            id: format!("unknown-{}-{caller}-{number}", address.port()),
            deadline: Duration::from_secs(12),
            model: Some(format!("{name:a<NAME_BYTES$}")),
        };
        let connection = kept.take().map_or_else(|| CallerConnection::open(address), Ok);
        let Ok(mut connection) = connection else { continue };
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let Ok(head) = connection.exchange(&call) else { continue };
        counts
            .refused
            .fetch_add(u64::from(head.status() == 503), Ordering::Relaxed);
        kept = (head.get("connection") != Some("close")).then_some(connection);
    }
}

/// Sends ordinary requests, ten a second.
fn ask_as_usual(address: SocketAddr, counts: &Counts) {
    let mut number = 0;
    while !counts.is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(100));
        number += 1;
        let call = Call {
            kind: CallKind::Safe,
            id: format!("usual-{}-{number}", address.port()),
            deadline: Duration::from_millis(1_500),
            model: None,
        };
        counts.ordinary.fetch_add(1, Ordering::Relaxed);
        let status = caller::call_once(address, &call).map(|head| head.status());
        counts
            .ordinary_served
            .fetch_add(u64::from(status.is_ok_and(|status| status == 200)), Ordering::Relaxed);
    }
}

/// Ends the processes that exceed the memory of their machines and starts them again, as the platform does; returns the
/// machines of the ended ones.
fn supervise(record: &Record, deployment: &Deployment, machines: &mut [Machine]) -> Vec<usize> {
    let began_at = Instant::now();
    let mut ended = Vec::new();
    let mut told_at = Instant::now();
    while began_at.elapsed() < LENGTH && !is_broken(&ended) {
        thread::sleep(LOOK_INTERVAL);
        let resident: Vec<u64> = machines.iter().map(|machine| machine.node.resident_mb()).collect();
        if told_at.elapsed() > Duration::from_secs(5) {
            told_at = Instant::now();
            record.tell(&format!("resident MB: {resident:?}"));
        }
        for (index, machine) in machines.iter_mut().enumerate() {
            if resident[index] <= u64::from(machine.settings.memory_mb) {
                continue;
            }
            record.tell(&format!(
                "{} has {} MB of {}: its process is killed",
                machine.settings.name, resident[index], machine.settings.memory_mb
            ));
            ended.push(index);
            machine.node.signal("KILL");
            thread::sleep(RESTART_DELAY);
            machine.settings.is_first_start = false;
            machine.node = deployment.launch(&machine.settings, machine.addresses);
        }
    }
    ended
}

fn is_broken(ended: &[usize]) -> bool {
    let machines: BTreeSet<&usize> = ended.iter().collect();
    ended.len() >= ENDS && machines.len() >= MACHINES
}

fn main() -> ExitCode {
    let record = Arc::new(Record::create(&case_folder()));
    let deployment = Deployment::start(&record, &DeploymentShape::default());
    let addresses: Vec<NodeAddresses> = (0..NODES).map(|_| NodeAddresses::choose()).collect();
    let seeds: Vec<SocketAddr> = addresses.iter().map(|addresses| addresses.peers).collect();
    let mut machines: Vec<Machine> = addresses
        .into_iter()
        .enumerate()
        .map(|(index, addresses)| {
            let settings = deployment.node_settings(&format!("edge-{}", index + 1), &seeds);
            let node = deployment.launch(&settings, addresses);
            Machine {
                settings,
                addresses,
                node,
            }
        })
        .collect();
    for machine in &machines {
        machine.node.await_ready(&record);
    }
    // The first leader is elected and knows the other nodes.
    thread::sleep(Duration::from_secs(5));
    let counts = Arc::<Counts>::default();
    let mut threads = Vec::new();
    for machine in &machines {
        let address = machine.addresses.callers;
        for caller in 0..CALLERS {
            let counts = Arc::clone(&counts);
            threads.push(thread::spawn(move || ask_for_unknown(address, caller, &counts)));
        }
        let counts = Arc::clone(&counts);
        threads.push(thread::spawn(move || ask_as_usual(address, &counts)));
    }
    let ended = supervise(&record, &deployment, &mut machines);
    counts.is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("a caller does not panic");
    }
    record.tell(&format!(
        "{} requests for models that nobody declared, {} answered 503; {} of {} ordinary requests answered 200; {} ends \
         of processes on machines {ended:?}",
        counts.sent.load(Ordering::Relaxed),
        counts.refused.load(Ordering::Relaxed),
        counts.ordinary_served.load(Ordering::Relaxed),
        counts.ordinary.load(Ordering::Relaxed),
        ended.len()
    ));
    ExitCode::from(u8::from(is_broken(&ended)))
}
