//! Behaviour of a real node towards callers when it stops, when callers disconnect, and when engines fail.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header::AUTHORIZATION};
use mustardctl::client::EventReader;
use mustardgate_core::verdict::RunVerdict;
use mustardgate_protocol::{
    callers::{CHAT_PATH, ChatChunk, ErrorAnswer, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, SERVICES_PREFIX},
    operators::STATUS_PATH,
};
use mustardgate_standins::{
    engine_http::{EngineFaults, EngineStats, whole_answer},
    http::{CallAnswer, call, json_request, open, plain_request},
    performance::{DeploymentPlan, MODEL, MeasuredDeployment, SERVICE, SERVICE_INSTANCE},
    service::{ServiceFaults, ServiceStats},
};
use serde_json::json;
use tokio::task::JoinSet;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Token count of a stream that does not finish within a test.
const ENDLESS_TOKENS: u32 = 30_000;

/// The part of a stream that a caller has read.
#[derive(Debug, Default)]
struct ReadStream {
    text: String,
    is_done: bool,
    error: Option<ErrorAnswer>,
}

async fn start(plan: DeploymentPlan) -> MeasuredDeployment {
    MeasuredDeployment::start(plan).await.expect("the deployment starts")
}

fn tenant_key(deployment: &MeasuredDeployment) -> String {
    deployment.tenants().swap_remove(0).key.expect("each tenant has a key")
}

fn with_bearer_key(mut request: Request<Full<Bytes>>, key: &str) -> Request<Full<Bytes>> {
    let value = format!("Bearer {key}").parse().expect("keys are visible ASCII");
    request.headers_mut().insert(AUTHORIZATION, value);
    request
}

fn prompt(number: u64) -> String {
    format!("a menu [seed:{number}]")
}

fn chat_request(deployment: &MeasuredDeployment, number: u64, tokens: u32) -> Request<Full<Bytes>> {
    let messages = [json!({"role": "user", "content": prompt(number)})];
    let body = json!({"model": MODEL, "messages": messages, "stream": true, "max_tokens": tokens});
    with_bearer_key(json_request(Method::POST, CHAT_PATH, &body), &tenant_key(deployment))
}

fn order_request(deployment: &MeasuredDeployment, key: &str) -> Request<Full<Bytes>> {
    let path = format!("{SERVICES_PREFIX}{SERVICE}/orders");
    let request = json_request(Method::POST, &path, &json!({"lunches": 40}));
    let mut request = with_bearer_key(request, &tenant_key(deployment));
    let value = key.parse().expect("keys are visible ASCII");
    request.headers_mut().insert(IDEMPOTENCY_KEY_HEADER, value);
    request
}

/// Opens a stream and reads its first event.
async fn begin_stream(deployment: &MeasuredDeployment, number: u64, tokens: u32) -> (EventReader, ReadStream) {
    let response = open(deployment.callers(), chat_request(deployment, number, tokens)).await;
    let response = response.expect("answered");
    assert_eq!(response.status(), StatusCode::OK);
    assert!(response.headers().contains_key(REQUEST_ID_HEADER));
    let mut reader = EventReader::new(response.into_body());
    let mut read = ReadStream::default();
    read_event(&mut reader, &mut read).await;
    assert!(!read.text.is_empty());
    (reader, read)
}

/// Reads one event; returns whether more may follow.
async fn read_event(reader: &mut EventReader, read: &mut ReadStream) -> bool {
    let Ok(Some(data)) = reader.next_data().await else {
        return false;
    };
    if data == "[DONE]" {
        read.is_done = true;
    } else if let Ok(chunk) = serde_json::from_str::<ChatChunk>(&data) {
        read.text.push_str(&chunk.delta);
    } else {
        read.error = Some(serde_json::from_str(&data).expect("every other event is an error"));
    }
    true
}

async fn read_rest(mut reader: EventReader, mut read: ReadStream) -> ReadStream {
    while read_event(&mut reader, &mut read).await {}
    read
}

async fn read_stream(address: SocketAddr, request: Request<Full<Bytes>>) -> ReadStream {
    let response = open(address, request).await.expect("answered");
    read_rest(EventReader::new(response.into_body()), ReadStream::default()).await
}

/// Opens a stream for each number, all concurrently, and reads each to its end.
async fn read_streams(deployment: &MeasuredDeployment, numbers: std::ops::Range<u64>) -> Vec<(u64, ReadStream)> {
    let mut streams = JoinSet::new();
    for number in numbers {
        let (address, request) = (deployment.callers(), chat_request(deployment, number, 16));
        streams.spawn(async move { (number, read_stream(address, request).await) });
    }
    streams.join_all().await
}

async fn delay_orders(deployment: &MeasuredDeployment, delay_ms: u64) {
    let faults = ServiceFaults {
        delay_ms,
        ..ServiceFaults::default()
    };
    let set = deployment.cluster.set_backend_faults(SERVICE_INSTANCE, &faults).await;
    set.expect("accepted");
}

async fn service_stats(deployment: &MeasuredDeployment) -> ServiceStats {
    let stats = deployment.cluster.backend_stats(SERVICE_INSTANCE).await;
    stats.expect("the service answers")
}

async fn engine_stats(deployment: &MeasuredDeployment, name: &str) -> EngineStats {
    deployment
        .cluster
        .backend_stats(name)
        .await
        .expect("the engine answers")
}

/// Waits until the readiness check reports that the node accepts no further requests.
async fn await_draining(deployment: &MeasuredDeployment) {
    let address = deployment.cluster.nodes[0].addresses.operators.into();
    let draining = async {
        loop {
            let ready = call(address, plain_request(Method::GET, "/readyz")).await;
            if ready.is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, draining).await.expect("the node drains");
}

#[tokio::test]
async fn a_planned_stop_completes_streams_and_orders_in_flight() {
    let mut deployment = start(DeploymentPlan::small()).await;
    delay_orders(&deployment, 1_500).await;
    let sent = tokio::spawn(call(deployment.callers(), order_request(&deployment, "order-1")));
    let mut streams = Vec::new();
    for number in 0..4 {
        streams.push(begin_stream(&deployment, number, 60).await);
    }
    deployment.cluster.nodes[0].process.terminate().expect("signalled");
    await_draining(&deployment).await;
    for (number, (reader, read)) in (0..).zip(streams) {
        let read = read_rest(reader, read).await;
        assert!(read.is_done, "{read:?}");
        assert_eq!(read.text, whole_answer(&prompt(number), 60));
    }
    let answer = sent.await.expect("not cancelled").expect("answered");
    assert_eq!(answer.status, StatusCode::OK);
    let status = deployment.cluster.nodes[0].process.wait(TIMEOUT).await;
    assert!(status.expect("it ends").success());
    assert_eq!(service_stats(&deployment).await.by_key["order-1"], 1);
}

#[tokio::test]
async fn a_second_signal_ends_requests_with_their_verdicts() {
    let mut deployment = start(DeploymentPlan::small()).await;
    delay_orders(&deployment, 60_000).await;
    let sent = tokio::spawn(call(deployment.callers(), order_request(&deployment, "order-1")));
    let (reader, read) = begin_stream(&deployment, 1, ENDLESS_TOKENS).await;
    deployment.cluster.nodes[0].process.terminate().expect("signalled");
    await_draining(&deployment).await;
    deployment.cluster.nodes[0].process.terminate().expect("signalled");
    let read = read_rest(reader, read).await;
    assert!(!read.is_done, "an incomplete stream is not marked as complete");
    let stream_error = read.error.expect("the stream's last event is its error");
    assert_eq!(stream_error.error.verdict, RunVerdict::MayHaveRun);
    let answer: CallAnswer = sent.await.expect("not cancelled").expect("answered");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let order_error: ErrorAnswer = answer.json().expect("an error");
    assert_eq!(order_error.error.verdict, RunVerdict::MayHaveRun);
    let ended = deployment.cluster.nodes[0].process.wait(TIMEOUT).await;
    ended.expect("the node ends");
}

#[tokio::test]
async fn a_caller_that_disconnects_ends_its_generation_but_not_its_order() {
    let deployment = start(DeploymentPlan::small()).await;
    drop(begin_stream(&deployment, 1, ENDLESS_TOKENS).await);
    let cancelled = async {
        let mut before = engine_stats(&deployment, "runner-1").await.tokens;
        loop {
            tokio::time::sleep(POLL_INTERVAL * 4).await;
            let tokens = engine_stats(&deployment, "runner-1").await.tokens;
            if tokens == before {
                return;
            }
            before = tokens;
        }
    };
    tokio::time::timeout(TIMEOUT, cancelled)
        .await
        .expect("the engine stops generating");
    let runs = engine_stats(&deployment, "runner-1").await.runs;
    assert!(runs.iter().all(|run| run.finished == 0), "{runs:?}");

    delay_orders(&deployment, 1_000).await;
    let unfinished = call(deployment.callers(), order_request(&deployment, "order-1"));
    let unfinished = tokio::time::timeout(Duration::from_millis(300), unfinished).await;
    unfinished.expect_err("the caller disconnects before the answer");
    let repeated = call(deployment.callers(), order_request(&deployment, "order-1")).await;
    let repeated = repeated.expect("answered");
    assert_eq!(repeated.status, StatusCode::OK, "{repeated:?}");
    assert_eq!(service_stats(&deployment).await.by_key["order-1"], 1);
}

#[tokio::test]
async fn broken_streams_are_resumed_until_the_answer_is_complete() {
    let deployment = start(DeploymentPlan { engines: 3, batch: 16 }).await;
    let faults = EngineFaults {
        broken_ratio: 1.0,
        ..EngineFaults::default()
    };
    let set = deployment.cluster.set_backend_faults("runner-1", &faults).await;
    set.expect("accepted");
    for (number, read) in read_streams(&deployment, 0..24).await {
        assert!(read.is_done, "{number}: {read:?}");
        assert_eq!(read.text, whole_answer(&prompt(number), 16));
    }
    let broken = engine_stats(&deployment, "runner-1").await.runs;
    assert!(!broken.is_empty(), "no stream reached the faulty engine");
}

#[tokio::test]
async fn answers_to_other_requests_reach_no_caller() {
    let deployment = start(DeploymentPlan { engines: 3, batch: 16 }).await;
    let faults = EngineFaults {
        crossed_ratio: 1.0,
        ..EngineFaults::default()
    };
    let set = deployment.cluster.set_backend_faults("runner-1", &faults).await;
    set.expect("accepted");
    for (number, read) in read_streams(&deployment, 0..24).await {
        let expected = whole_answer(&prompt(number), 16);
        assert!(expected.starts_with(&read.text), "{number}: {read:?}");
        assert!(!read.is_done || read.text == expected, "{number}: {read:?}");
    }
    let crossed = engine_stats(&deployment, "runner-1").await.runs;
    assert!(!crossed.is_empty(), "no stream reached the faulty engine");
}

#[tokio::test]
async fn keys_are_accepted_only_by_their_own_listener_and_are_never_logged() {
    let mut deployment = start(DeploymentPlan::small()).await;
    let tenant = tenant_key(&deployment);
    let operator = deployment.cluster.operator_key.clone();
    let addresses = deployment.cluster.nodes[0].addresses;
    let (callers, operators) = (addresses.callers.into(), addresses.operators.into());
    let unknown = "a-key-of-nobody";
    let idempotency_key = "order-key-in-no-log";
    for (address, path, key, status) in [
        (callers, "/v1/models", operator.as_str(), StatusCode::UNAUTHORIZED),
        (callers, "/v1/models", unknown, StatusCode::UNAUTHORIZED),
        (callers, "/v1/models", tenant.as_str(), StatusCode::OK),
        (operators, STATUS_PATH, tenant.as_str(), StatusCode::UNAUTHORIZED),
        (operators, STATUS_PATH, unknown, StatusCode::UNAUTHORIZED),
        (operators, STATUS_PATH, operator.as_str(), StatusCode::OK),
    ] {
        let answer = call(address, with_bearer_key(plain_request(Method::GET, path), key)).await;
        assert_eq!(answer.expect("answered").status, status, "{path} with {key}");
    }
    let answer = call(callers, order_request(&deployment, idempotency_key)).await;
    assert_eq!(answer.expect("answered").status, StatusCode::OK);
    let node = &mut deployment.cluster.nodes[0].process;
    node.terminate().expect("signalled");
    node.wait(TIMEOUT).await.expect("it ends");
    let output = std::fs::read_to_string(node.output()).expect("readable");
    assert!(output.lines().count() > 3, "the node logs events: {output}");
    let peer_key = "peers of one test";
    for key in [tenant.as_str(), operator.as_str(), unknown, idempotency_key, peer_key] {
        assert!(!output.contains(key), "{key} is in the log");
    }
}
