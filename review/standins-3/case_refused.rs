//! Case: the refusal of a node's own question, written again, is taken for the refusal of a caller's request.

mod caller;
mod deployment;
mod http;
mod node;
mod record;
mod runner;
mod store;
mod wire;

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use caller::{Call, CallKind, call_once};
use deployment::{Deployment, DeploymentShape};
use record::{Record, case_folder, has_trouble};

/// Rounds of traffic, and the time that each takes at least: a node checks its link at most every 3 s.
const ROUNDS: usize = 12;
const ROUND_TIME: Duration = Duration::from_millis(3_300);
/// Requests that may be repeated in a round, and how many callers send them.
const CHECKS: usize = 160;
const CHECKERS: usize = 8;
/// Requests that must run at most once in a round.
const ORDERS: usize = 8;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn main() -> ExitCode {
    let record = Arc::new(Record::create(&case_folder()));
    let shape = DeploymentShape {
        repeating: if has_trouble() { 2 } else { 0 },
        events: 8,
        bytes: 45,
        first_event: Duration::from_millis(900),
        pace: Duration::from_millis(10),
    };
    let deployment = Deployment::start(&record, &shape);
    let node = deployment.start_node("edge-1", 260, 4_100);
    let address = node.addresses.callers;
    let mut promised = Vec::new();
    for round in 0..ROUNDS {
        let began_at = Instant::now();
        send_checks(address, round);
        let stream = Call {
            kind: CallKind::Stream,
            id: format!("notes-{round}"),
            deadline: Duration::from_secs(12),
            model: None,
        };
        let status = call_once(address, &stream).map(|head| head.status());
        record.line(&format!("{} is answered {status:?}", stream.id));
        for index in 0..ORDERS {
            let order = Call {
                kind: CallKind::Once,
                id: format!("order-{round}-{index}"),
                deadline: Duration::from_millis(1_500),
                model: None,
            };
            let status = call_once(address, &order).map(|head| head.status());
            record.line(&format!("{} is answered {status:?}", order.id));
            if status.is_ok_and(|status| PROMISES.contains(&status)) {
                promised.push(order.id);
            }
        }
        thread::sleep(ROUND_TIME.saturating_sub(began_at.elapsed()));
    }
    let runs: Vec<String> = deployment.plain.iter().flat_map(|runner| runner.runs()).collect();
    let broken: Vec<&String> = promised.iter().filter(|id| runs.contains(id)).collect();
    record.tell(&format!(
        "{} of {} orders were answered with a promise that they have not run; of these {} have run: {broken:?}",
        promised.len(),
        ROUNDS * ORDERS,
        broken.len()
    ));
    ExitCode::from(u8::from(!broken.is_empty()))
}

fn send_checks(address: SocketAddr, round: usize) {
    let send = move |checker: usize| {
        for index in 0..CHECKS / CHECKERS {
            let check = Call {
                kind: CallKind::Safe,
                id: format!("check-{round}-{checker}-{index}"),
                deadline: Duration::from_millis(1_500),
                model: None,
            };
            // Only orders are judged.
            let _answer = call_once(address, &check);
        }
    };
    let checkers: Vec<_> = (0..CHECKERS)
        .map(|checker| thread::spawn(move || send(checker)))
        .collect();
    for checker in checkers {
        checker.join().expect("a checker does not panic");
    }
}
