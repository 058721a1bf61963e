//! A table of requests over one planned stop: what was sent at the signal, the time of the last byte, the kind and the
//! back end's time.

use std::time::Duration;

use mustardgate_core::verdict::RunVerdict;
use mustardgate_standins::{
    performance::{DeploymentPlan, MeasuredDeployment, SERVICE_INSTANCE},
    service::{ServiceFaults, ServiceStats},
};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use super::callers::{RequestEnd, RequestKind, RequestRow, SentPart};

const GRACE_MS: i64 = 300;
const LIMIT_MS: i64 = 2_700;
const END_MS: i64 = GRACE_MS + LIMIT_MS;
/// Times of the last byte: before the signal, in the grace period, after it, shortly before the end, and after it.
const LAST_BYTES_MS: [i64; 5] = [-200, 100, 1_500, 2_960, 3_400];
const ENDLESS_TOKENS: u32 = 30_000;
/// Time from the start of the callers to the signal.
const LEAD_TIME: Duration = Duration::from_millis(600);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A planned stop with the back end's time.
struct StopCase {
    /// Time of the plain service's answers.
    service_ms: u64,
    /// Tokens of the generations, of which one takes 20 ms.
    tokens: u32,
    /// Whether the node has seen an answer of the service before the stop.
    is_known: bool,
}

pub(crate) async fn start() -> MeasuredDeployment {
    start_plan(DeploymentPlan { engines: 1, batch: 64 }).await
}

async fn start_plan(plan: DeploymentPlan) -> MeasuredDeployment {
    let settings = format!("[drain]\ngrace_ms = {GRACE_MS}\nlimit_ms = {LIMIT_MS}\n");
    let deployment = MeasuredDeployment::start_with_settings(plan, &settings).await;
    deployment.expect("the deployment starts")
}

pub(crate) fn bearer(deployment: &MeasuredDeployment) -> String {
    deployment.tenants().swap_remove(0).key.expect("each tenant has a key")
}

pub(crate) async fn delay_orders(deployment: &MeasuredDeployment, delay_ms: u64) {
    let faults = ServiceFaults {
        delay_ms,
        ..ServiceFaults::default()
    };
    let set = deployment.cluster.set_backend_faults(SERVICE_INSTANCE, &faults).await;
    set.expect("accepted");
}

pub(crate) async fn service_stats(deployment: &MeasuredDeployment) -> ServiceStats {
    let stats = deployment.cluster.backend_stats(SERVICE_INSTANCE).await;
    stats.expect("the service answers")
}

fn rows(case: &StopCase, bearer: &str) -> Vec<RequestRow> {
    let mut rows = Vec::new();
    for kind in [
        RequestKind::Order,
        RequestKind::KeyedOrder,
        RequestKind::Chat,
        RequestKind::Stream,
    ] {
        for sent in [SentPart::Nothing, SentPart::HalfHead, SentPart::HalfBody] {
            for last_byte_ms in LAST_BYTES_MS {
                rows.push(RequestRow {
                    kind,
                    sent,
                    last_byte_ms,
                    tokens: case.tokens,
                    number: rows.len(),
                    bearer: bearer.to_owned(),
                });
            }
        }
    }
    rows
}

/// Returns why the end of a request is wrong, if it is.
fn fault_of(case: &StopCase, row: &RequestRow, end: &RequestEnd) -> Option<&'static str> {
    let is_order = matches!(row.kind, RequestKind::Order | RequestKind::KeyedOrder);
    let is_slow = case.service_ms as i64 > END_MS;
    match end {
        RequestEnd::Closed { received } => {
            let is_unread = row.sent == SentPart::Nothing && row.last_byte_ms > GRACE_MS && received.is_empty();
            (!is_unread).then_some("closed without an answer")
        }
        RequestEnd::Told {
            has_retry_after: false, ..
        } => Some("not told when to come back"),
        RequestEnd::Told { .. } if !is_slow && row.last_byte_ms < END_MS / 2 => Some("refused with time enough"),
        RequestEnd::Told {
            verdict: RunVerdict::MayHaveRun,
            ..
        } if row.kind == RequestKind::Order && case.is_known && is_slow && row.last_byte_ms > 0 => {
            Some("passed on without time enough")
        }
        RequestEnd::Told {
            verdict: RunVerdict::MayHaveRun,
            ..
        } if row.kind != RequestKind::KeyedOrder && row.last_byte_ms > END_MS => Some("passed on after the end"),
        RequestEnd::Whole if is_order && is_slow => Some("answered by nobody"),
        RequestEnd::Told { .. } | RequestEnd::Whole => None,
    }
}

async fn check_stop(case: StopCase) {
    let mut deployment = start().await;
    delay_orders(&deployment, case.service_ms).await;
    let key = bearer(&deployment);
    if case.is_known {
        let warm = RequestRow {
            kind: RequestKind::Order,
            sent: SentPart::Nothing,
            last_byte_ms: 0,
            tokens: 0,
            number: 1_000,
            bearer: key.clone(),
        };
        assert_eq!(warm.run(deployment.callers(), Instant::now()).await, RequestEnd::Whole);
    }
    let runs_before = service_stats(&deployment).await.runs;
    let (address, signal) = (deployment.callers(), Instant::now() + LEAD_TIME);
    let mut callers = JoinSet::new();
    for row in rows(&case, &key) {
        callers.spawn(async move {
            let end = row.run(address, signal).await;
            (row, end)
        });
    }
    time::sleep_until(signal).await;
    let node = &mut deployment.cluster.nodes[0].process;
    node.terminate().expect("signalled");
    let ends = callers.join_all().await;
    node.wait(STOP_TIMEOUT).await.expect("the node ends");
    let mut faults: Vec<String> = ends
        .iter()
        .filter_map(|(row, end)| {
            let (kind, sent, at) = (row.kind, row.sent, row.last_byte_ms);
            fault_of(&case, row, end).map(|fault| format!("{kind:?} {sent:?} {at} ms: {fault}: {end:?}"))
        })
        .collect();
    // Calls that were passed on take effect after their delay, whoever still waits for them.
    time::sleep(Duration::from_millis(case.service_ms)).await;
    faults.extend(false_verdicts(&ends, &service_stats(&deployment).await, runs_before));
    faults.sort();
    assert!(
        faults.is_empty(),
        "{} of {}:\n{}",
        faults.len(),
        ends.len(),
        faults.join("\n")
    );
}

/// Checks that a request that is read late is told the truth although nothing was in flight before.
async fn check_late_request(has_second_signal: bool) {
    let mut deployment = start().await;
    delay_orders(&deployment, 10_000).await;
    let row = RequestRow {
        kind: RequestKind::Order,
        sent: SentPart::HalfHead,
        last_byte_ms: 1_000,
        tokens: 0,
        number: 0,
        bearer: bearer(&deployment),
    };
    let (address, signal) = (deployment.callers(), Instant::now() + LEAD_TIME);
    let caller = tokio::spawn(async move { row.run(address, signal).await });
    time::sleep_until(signal).await;
    let node = &mut deployment.cluster.nodes[0].process;
    node.terminate().expect("signalled");
    if has_second_signal {
        time::sleep_until(signal + Duration::from_secs(2)).await;
        node.terminate().expect("signalled");
    }
    let end = caller.await.expect("not cancelled");
    let verdict = RunVerdict::MayHaveRun;
    let is_told = matches!(&end, RequestEnd::Told { verdict: told, has_retry_after: true, .. } if *told == verdict);
    assert!(is_told, "{end:?}");
    node.wait(STOP_TIMEOUT).await.expect("the node ends");
}

/// Compares what callers of the plain service were told with what it did.
fn false_verdicts(ends: &[(RequestRow, RequestEnd)], stats: &ServiceStats, runs_before: u64) -> Vec<String> {
    let mut faults = Vec::new();
    let (mut whole, mut unknown) = (0, 0);
    for (row, end) in ends {
        let keyed_runs = stats.by_key.get(row.key().as_str()).copied().unwrap_or_default();
        match (row.kind, end) {
            (RequestKind::Order, RequestEnd::Whole) => whole += 1,
            (
                RequestKind::Order,
                RequestEnd::Told {
                    verdict: RunVerdict::MayHaveRun,
                    ..
                },
            ) => unknown += 1,
            (RequestKind::KeyedOrder, RequestEnd::Whole) if keyed_runs != 1 => {
                faults.push(format!("{} answered, ran {keyed_runs} times", row.key()));
            }
            (RequestKind::KeyedOrder, _) if keyed_runs > 1 => {
                faults.push(format!("{} ran {keyed_runs} times", row.key()));
            }
            _ => {}
        }
    }
    let runs = stats.runs - runs_before - stats.by_key.values().sum::<u64>();
    if runs != whole + unknown {
        faults.push(format!(
            "{runs} orders ran, {whole} answered, {unknown} told that they may have run"
        ));
    }
    faults
}

#[tokio::test]
async fn a_planned_stop_answers_what_its_back_ends_finish_in_time() {
    check_stop(StopCase {
        service_ms: 150,
        tokens: 8,
        is_known: true,
    })
    .await;
}

#[tokio::test]
async fn a_planned_stop_refuses_what_cannot_be_finished_in_time() {
    check_stop(StopCase {
        service_ms: 4_000,
        tokens: ENDLESS_TOKENS,
        is_known: true,
    })
    .await;
}

#[tokio::test]
async fn a_planned_stop_tells_what_was_cut_at_a_back_end_that_it_may_have_run() {
    check_stop(StopCase {
        service_ms: 4_000,
        tokens: ENDLESS_TOKENS,
        is_known: false,
    })
    .await;
}

#[tokio::test]
async fn a_request_read_late_in_an_idle_planned_stop_is_not_left_without_an_answer() {
    check_late_request(false).await;
}

#[tokio::test]
async fn a_request_read_late_in_an_idle_planned_stop_is_answered_at_a_second_signal() {
    check_late_request(true).await;
}

#[tokio::test]
async fn requests_that_wait_for_a_slot_as_a_planned_stop_ends_do_not_run() {
    let mut deployment = start_plan(DeploymentPlan { engines: 1, batch: 1 }).await;
    delay_orders(&deployment, 3_500).await;
    let (address, signal) = (deployment.callers(), Instant::now() + LEAD_TIME);
    let mut callers = JoinSet::new();
    for (number, last_byte_ms) in (0..).zip([-400, -200, -200, 100]) {
        let row = RequestRow {
            kind: RequestKind::Order,
            sent: SentPart::HalfBody,
            last_byte_ms,
            tokens: 0,
            number,
            bearer: bearer(&deployment),
        };
        callers.spawn(async move { (row.number, row.run(address, signal).await) });
    }
    time::sleep_until(signal).await;
    let node = &mut deployment.cluster.nodes[0].process;
    node.terminate().expect("signalled");
    for (number, end) in callers.join_all().await {
        let expected = if number == 0 {
            RunVerdict::MayHaveRun
        } else {
            RunVerdict::NotRun
        };
        let is_told = matches!(&end, RequestEnd::Told { verdict, has_retry_after: true, .. } if *verdict == expected);
        assert!(is_told, "{number}: {end:?}");
    }
    node.wait(STOP_TIMEOUT).await.expect("the node ends");
    time::sleep(Duration::from_millis(3_500)).await;
    assert_eq!(service_stats(&deployment).await.runs, 1);
}
