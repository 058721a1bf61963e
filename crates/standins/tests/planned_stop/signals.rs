//! Further signals during a planned stop, and a node that is silent for a second of it.

use std::time::Duration;

use mustardgate_core::verdict::RunVerdict;
use mustardgate_standins::performance::MeasuredDeployment;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use super::{
    callers::{RequestEnd, RequestKind, RequestRow, SentPart},
    table::{bearer, delay_orders, service_stats, start},
};

const LEAD_TIME: Duration = Duration::from_millis(600);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

fn order(deployment: &MeasuredDeployment, sent: SentPart, last_byte_ms: i64) -> RequestRow {
    RequestRow {
        kind: RequestKind::Order,
        sent,
        last_byte_ms,
        tokens: 0,
        number: 0,
        bearer: bearer(deployment),
    }
}

fn spawn_orders(deployment: &MeasuredDeployment, rows: &[(SentPart, i64)]) -> (JoinSet<(String, RequestEnd)>, Instant) {
    let signal = Instant::now() + LEAD_TIME;
    let mut callers = JoinSet::new();
    for (sent, last_byte_ms) in rows {
        let (row, address) = (order(deployment, *sent, *last_byte_ms), deployment.callers());
        callers.spawn(async move {
            (
                format!("{:?} {}", row.sent, row.last_byte_ms),
                row.run(address, signal).await,
            )
        });
    }
    (callers, signal)
}

/// Sends a second signal at a time after the first and checks that every request read whole is told what is known.
async fn check_second_signal(second_ms: u64) {
    let mut deployment = start().await;
    delay_orders(&deployment, 10_000).await;
    let after_second = second_ms as i64 + 300;
    let (callers, signal) = spawn_orders(
        &deployment,
        &[
            (SentPart::HalfBody, -200),
            (SentPart::HalfHead, after_second),
            (SentPart::HalfBody, after_second),
        ],
    );
    time::sleep_until(signal).await;
    deployment.cluster.nodes[0].process.terminate().expect("signalled");
    time::sleep_until(signal + Duration::from_millis(second_ms)).await;
    deployment.cluster.nodes[0].process.interrupt().expect("signalled");
    for (row, end) in callers.join_all().await {
        let expected = if row.ends_with("-200") {
            RunVerdict::MayHaveRun
        } else {
            RunVerdict::NotRun
        };
        let is_told = matches!(&end, RequestEnd::Told { verdict, has_retry_after: true, .. } if *verdict == expected);
        assert!(is_told, "{row}: {end:?}");
    }
    let ended = deployment.cluster.nodes[0].process.wait(STOP_TIMEOUT).await;
    assert_eq!(ended.expect("the node ends").code(), Some(3));
}

#[tokio::test]
async fn a_second_signal_in_the_grace_period_leaves_no_request_without_an_answer() {
    check_second_signal(100).await;
}

#[tokio::test]
async fn a_second_signal_after_the_grace_period_leaves_no_request_without_an_answer() {
    check_second_signal(1_000).await;
}

#[tokio::test]
async fn a_hang_up_neither_kills_the_node_nor_cuts_its_planned_stop_short() {
    let mut deployment = start().await;
    delay_orders(&deployment, 800).await;
    let (callers, signal) = spawn_orders(&deployment, &[(SentPart::HalfHead, -200), (SentPart::HalfBody, 100)]);
    time::sleep_until(signal).await;
    deployment.cluster.nodes[0].process.hang_up().expect("signalled");
    time::sleep_until(signal + Duration::from_millis(50)).await;
    deployment.cluster.nodes[0].process.hang_up().expect("signalled");
    for (row, end) in callers.join_all().await {
        assert_eq!(end, RequestEnd::Whole, "{row}");
    }
    let ended = deployment.cluster.nodes[0].process.wait(STOP_TIMEOUT).await;
    assert!(ended.expect("the node ends").success());
}

#[tokio::test]
async fn requests_that_arrive_while_the_node_is_silent_as_its_listener_closes_are_answered() {
    let mut deployment = start().await;
    let mut rows = Vec::new();
    for _ in 0..8 {
        // Connections open before the signal, and ones that wait in the accept queue when the listener closes.
        rows.push((SentPart::Nothing, 700));
        rows.push((SentPart::HalfHead, 700));
    }
    let (mut callers, signal) = spawn_orders(&deployment, &rows);
    time::sleep_until(signal).await;
    deployment.cluster.nodes[0].process.terminate().expect("signalled");
    time::sleep_until(signal + Duration::from_millis(100)).await;
    deployment.cluster.nodes[0].process.freeze().expect("frozen");
    for _ in 0..8 {
        let (row, address) = (order(&deployment, SentPart::HalfBody, 0), deployment.callers());
        callers.spawn(async move { ("accept queue".to_owned(), row.run(address, signal).await) });
    }
    time::sleep_until(signal + Duration::from_millis(1_100)).await;
    deployment.cluster.nodes[0].process.resume().expect("resumed");
    for (row, end) in callers.join_all().await {
        assert_eq!(end, RequestEnd::Whole, "{row}");
    }
    assert_eq!(service_stats(&deployment).await.runs, 24);
    let ended = deployment.cluster.nodes[0].process.wait(STOP_TIMEOUT).await;
    assert!(ended.expect("the node ends").success());
}
