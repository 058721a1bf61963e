//! Messages between the nodes of a real deployment: heartbeats, configuration, runner reports and their authentication.

use std::{fs, time::Duration};

use hyper::{
    HeaderMap, Method, StatusCode,
    header::{AUTHORIZATION, HeaderValue, IF_NONE_MATCH},
};
use mustardgate_protocol::operators::{API_PREFIX, PutRequest};
use mustardgate_standins::{
    harness::{
        BackendKind, BackendOptions, BinarySet, ChildProcess, ClusterOptions, DomainOptions, RunningNode, TestCluster,
    },
    http::{CallAnswer, call, json_request, plain_request},
    platform::{LogFaults, PlatformFaults},
};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 180;
/// Received heartbeat bytes after which each of two nodes has received heartbeats of the other.
const EXCHANGED_HEARTBEAT_BYTES: u64 = 600;
const TENANT: &str = "tenant/kitchen";
const MODEL: &str = "model/menu";
const DIFFERENT_KEY: &str = "not the key of this deployment";

fn options(domains: &[(&str, usize)]) -> ClusterOptions {
    let domains = domains.iter().map(|(name, nodes)| DomainOptions {
        name: (*name).into(),
        region: "north".into(),
        nodes: *nodes,
    });
    ClusterOptions {
        domains: domains.collect(),
        backends: Vec::new(),
        platform_arguments: ["--list-lag-ms", "0"].map(str::to_owned).to_vec(),
        platform_settings: "lease_ms = 1500\nlist_ms = 200\n".to_owned(),
        extra_settings: "[drain]\ngrace_ms = 0\n".to_owned(),
    }
}

/// Creates a resource through a node's resource API, or reads it when `spec` is `None`.
async fn call_resource_api(
    cluster: &TestCluster,
    node: &RunningNode,
    resource: &str,
    spec: Option<Value>,
) -> CallAnswer {
    let path = format!("{API_PREFIX}{resource}");
    let change = format!("create-{resource}").into();
    let mut request = match spec {
        Some(spec) => json_request(Method::PUT, &path, &PutRequest { spec, change }),
        None => plain_request(Method::GET, &path),
    };
    let bearer = format!("Bearer {}", cluster.operator_key);
    let headers: &mut HeaderMap = request.headers_mut();
    headers.insert(AUTHORIZATION, HeaderValue::from_str(&bearer).expect("a header"));
    headers.insert(IF_NONE_MATCH, HeaderValue::from_static("*"));
    call(node.addresses.operators.into(), request).await.expect("answered")
}

async fn take_log_down(cluster: &TestCluster) {
    let log = LogFaults {
        is_down: true,
        ..LogFaults::default()
    };
    let faults = PlatformFaults {
        log,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(&faults).await.expect("accepted");
}

async fn await_resource(cluster: &TestCluster, node: &RunningNode, name: &str) {
    for _ in 0..MAX_POLLS {
        if call_resource_api(cluster, node, name, None).await.status == StatusCode::OK {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("{} does not serve {name} in time", node.name);
}

async fn await_event(node: &RunningNode, message: &str) {
    for _ in 0..MAX_POLLS {
        if fs::read_to_string(node.process.output()).is_ok_and(|lines| lines.contains(message)) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("{} does not log {message} in time", node.name);
}

async fn metrics(node: &RunningNode) -> String {
    let answer = call(node.addresses.operators.into(), plain_request(Method::GET, "/metrics")).await;
    String::from_utf8(answer.expect("answered").body.to_vec()).expect("text")
}

/// Waits until a node counts bytes of messages of the given kind.
async fn await_bytes(cluster: &TestCluster, kind: &str) {
    let label = format!("kind=\"{kind}\"");
    for _ in 0..MAX_POLLS {
        for node in &cluster.nodes {
            if metrics(node).await.contains(&label) {
                return;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("no node counts bytes of {kind} in time");
}

fn heartbeat_bytes(metrics: &str) -> u64 {
    let is_received = |line: &&str| line.contains("kind=\"heartbeat\"") && line.contains("direction=\"received\"");
    let line = metrics.lines().find(is_received);
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}

#[tokio::test]
async fn nodes_exchange_feeds_and_a_restarted_node_reads_the_configuration_from_a_neighbour() {
    let mut cluster = TestCluster::start(options(&[("a", 3), ("b", 1)]))
        .await
        .expect("started");
    for node in &cluster.nodes {
        node.wait_ready(TIMEOUT).await.expect("the log answers");
    }
    let put = call_resource_api(&cluster, &cluster.nodes[0], TENANT, Some(json!({ "key_digests": [] }))).await;
    assert_eq!(put.status, StatusCode::OK, "{:?}", put.body);
    for node in &cluster.nodes {
        await_resource(&cluster, node, TENANT).await;
    }
    for kind in ["heartbeat", "digest", "config_feed"] {
        await_bytes(&cluster, kind).await;
    }

    take_log_down(&cluster).await;
    let node = &mut cluster.nodes[1];
    node.process.kill().expect("signalled");
    node.restart().expect("started");
    node.wait_ready(TIMEOUT)
        .await
        .expect("a neighbour sends its configuration");
    await_event(&cluster.nodes[1], "configuration taken from a neighbour").await;
    await_resource(&cluster, &cluster.nodes[1], TENANT).await;
}

/// Waits until a node reports that the model is ready.
async fn await_model(cluster: &TestCluster, node: &RunningNode) {
    for _ in 0..MAX_POLLS {
        let model: Value = call_resource_api(cluster, node, MODEL, None)
            .await
            .json()
            .expect("JSON");
        if model["status"]["conditions"][0]["holds"] == true {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("{} does not report a ready replica in time", node.name);
}

#[tokio::test]
async fn a_leader_reports_its_runners_to_all_nodes_and_no_other_domain_polls_them() {
    let mut options = options(&[("a", 2), ("b", 2)]);
    options.backends.push(BackendOptions {
        name: "runner-1".into(),
        domain: "a".into(),
        kind: BackendKind::Engine,
        address: None,
        arguments: ["--load-ms", "0", "--report-lag-ms", "0"].map(str::to_owned).to_vec(),
    });
    let cluster = TestCluster::start(options).await.expect("started");
    let first = &cluster.nodes[0];
    first.wait_ready(TIMEOUT).await.expect("the log answers");
    let address = cluster.backend("runner-1").expect("started").address;
    let runner = json!({
        "domain": "a", "region": "north", "address": address, "role": "engine",
        "accelerators": [{ "memory_mib": 24_576 }],
    });
    let model = json!({ "serving": "v1", "versions": [{ "name": "v1", "memory_mib": 1_000 }] });
    for (resource, spec) in [("backend/runner-1", runner), (MODEL, model)] {
        let put = call_resource_api(&cluster, first, resource, Some(spec)).await;
        assert_eq!(put.status, StatusCode::OK, "{:?}", put.body);
    }
    for node in &cluster.nodes {
        await_model(&cluster, node).await;
    }
    for node in cluster.nodes.iter().filter(|node| node.domain == "b") {
        assert!(
            !metrics(node).await.contains("engine_report"),
            "{} polls runners of another failure domain",
            node.name
        );
    }
}

#[tokio::test]
async fn a_frozen_node_is_suspected_and_trusted_again_after_it_resumes() {
    let mut cluster = TestCluster::start(options(&[("a", 2)])).await.expect("started");
    while heartbeat_bytes(&metrics(&cluster.nodes[0]).await) < EXCHANGED_HEARTBEAT_BYTES {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    cluster.nodes[1].process.freeze().expect("signalled");
    await_event(&cluster.nodes[0], "peer suspected").await;
    cluster.nodes[1].process.resume().expect("signalled");
    await_event(&cluster.nodes[0], "peer trusted again").await;
}

#[tokio::test]
async fn a_node_succeeds_the_leader_while_the_log_is_unavailable() {
    let cluster = TestCluster::start(options(&[("a", 2)])).await.expect("started");
    for node in &cluster.nodes {
        node.wait_ready(TIMEOUT).await.expect("the log answers");
    }
    take_log_down(&cluster).await;
    for _ in 0..MAX_POLLS {
        let logs = cluster
            .nodes
            .iter()
            .map(|node| fs::read_to_string(node.process.output()));
        let logs: Vec<String> = logs.map(Result::unwrap_or_default).collect();
        if logs.iter().any(|lines| lines.contains("Succeeded")) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("no node succeeds the leader in time");
}

#[tokio::test]
async fn a_node_with_a_different_peer_key_is_refused_and_one_with_a_short_key_does_not_start() {
    let mut cluster = TestCluster::start(options(&[("a", 2)])).await.expect("started");
    cluster.scratch().write("peers.key", DIFFERENT_KEY).expect("written");
    cluster.nodes[1].process.kill().expect("signalled");
    cluster.nodes[1].restart().expect("started");
    await_event(&cluster.nodes[0], "peer refused").await;
    await_event(&cluster.nodes[1], "peer refused").await;

    cluster.scratch().write("peers.key", "short").expect("written");
    let program = BinarySet::locate()
        .and_then(|set| set.program("mustardgate"))
        .expect("built");
    let settings = settings_file(&cluster);
    for (name, arguments) in [
        ("check", vec!["--settings", &settings, "--check"]),
        ("start", vec!["--settings", &settings]),
    ] {
        let arguments: Vec<String> = arguments.into_iter().map(str::to_owned).collect();
        let directory = cluster.scratch().path();
        let mut process = ChildProcess::start(name, &program, &arguments, directory).expect("started");
        assert_eq!(process.wait(TIMEOUT).await.expect("it ends").code(), Some(2));
        let output = fs::read_to_string(process.output()).expect("readable");
        assert!(
            output.contains("peers.key: the peer key has fewer than 16 bytes"),
            "{output}"
        );
    }
}

fn settings_file(cluster: &TestCluster) -> String {
    let files = fs::read_dir(cluster.scratch().path()).expect("readable");
    let mut paths = files.map(|file| file.expect("readable").path());
    let found = paths.find(|path| path.extension().is_some_and(|extension| extension == "toml"));
    found.expect("each node has one").display().to_string()
}
