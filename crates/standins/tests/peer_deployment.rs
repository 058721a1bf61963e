//! Nodes of a real deployment tell each other of VMs and of the configuration.

use std::{fs, time::Duration};

use hyper::{
    HeaderMap, Method, StatusCode,
    header::{AUTHORIZATION, HeaderValue, IF_NONE_MATCH},
};
use mustardgate_core::resources::ResourceKind;
use mustardgate_protocol::operators::{API_PREFIX, PutRequest};
use mustardgate_standins::{
    harness::{BinarySet, ChildProcess, ClusterOptions, DomainOptions, RunningNode, TestCluster},
    http::{CallAnswer, call, json_request, plain_request},
    platform::{LogFaults, PlatformFaults},
};
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(10);
const POLL_STEP: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 180;
/// Bytes of heartbeats received after which each of two nodes has heard the other.
const SETTLED_HEARTBEAT_BYTES: u64 = 600;
const CONFLICTING_KEY: &str = "not the key of this deployment";

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

/// Reads or writes one tenant through a node's resource API.
async fn operate(cluster: &TestCluster, node: &RunningNode, method: Method, name: &str) -> CallAnswer {
    let path = format!("{API_PREFIX}{}/{name}", ResourceKind::Tenant);
    let mut request = if method == Method::PUT {
        let put = PutRequest {
            spec: json!({ "key_digests": [] }),
            change: format!("create-{name}").into(),
        };
        json_request(method, &path, &put)
    } else {
        plain_request(method, &path)
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
    cluster.set_platform_faults(&faults).await.expect("taken");
}

async fn await_tenant(cluster: &TestCluster, node: &RunningNode, name: &str) {
    for _ in 0..MAX_POLLS {
        if operate(cluster, node, Method::GET, name).await.status == StatusCode::OK {
            return;
        }
        tokio::time::sleep(POLL_STEP).await;
    }
    panic!("{} never serves {name}", node.name);
}

async fn await_event(node: &RunningNode, message: &str) {
    for _ in 0..MAX_POLLS {
        if fs::read_to_string(node.process.output()).is_ok_and(|lines| lines.contains(message)) {
            return;
        }
        tokio::time::sleep(POLL_STEP).await;
    }
    panic!("{} never logs {message}", node.name);
}

async fn metrics(node: &RunningNode) -> String {
    let answer = call(node.addresses.operators.into(), plain_request(Method::GET, "/metrics")).await;
    String::from_utf8(answer.expect("answered").body.to_vec()).expect("text")
}

/// Waits until some node has counted bytes of a kind of message.
async fn await_bytes(cluster: &TestCluster, kind: &str) {
    let label = format!("kind=\"{kind}\"");
    for _ in 0..MAX_POLLS {
        for node in &cluster.nodes {
            if metrics(node).await.contains(&label) {
                return;
            }
        }
        tokio::time::sleep(POLL_STEP).await;
    }
    panic!("no bytes of {kind} are counted");
}

fn heartbeat_bytes(metrics: &str) -> u64 {
    let is_received = |line: &&str| line.contains("kind=\"heartbeat\"") && line.contains("direction=\"received\"");
    let line = metrics.lines().find(is_received);
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}

#[tokio::test]
async fn nodes_feed_each_other_and_a_restarted_one_is_served_by_a_neighbour() {
    let mut cluster = TestCluster::start(options(&[("a", 3), ("b", 1)]))
        .await
        .expect("started");
    for node in &cluster.nodes {
        node.wait_ready(LIMIT).await.expect("the log answers");
    }
    let put = operate(&cluster, &cluster.nodes[0], Method::PUT, "kitchen").await;
    assert_eq!(put.status, StatusCode::OK, "{:?}", put.body);
    for node in &cluster.nodes {
        await_tenant(&cluster, node, "kitchen").await;
    }
    for kind in ["heartbeat", "digest", "config_feed"] {
        await_bytes(&cluster, kind).await;
    }

    take_log_down(&cluster).await;
    let node = &mut cluster.nodes[1];
    node.process.kill().expect("signalled");
    node.restart().expect("started");
    node.wait_ready(LIMIT)
        .await
        .expect("a neighbour hands its configuration over");
    await_event(&cluster.nodes[1], "configuration taken from a neighbour").await;
    await_tenant(&cluster, &cluster.nodes[1], "kitchen").await;
}

#[tokio::test]
async fn a_silent_node_is_suspected_and_trusted_again() {
    let mut cluster = TestCluster::start(options(&[("a", 2)])).await.expect("started");
    while heartbeat_bytes(&metrics(&cluster.nodes[0]).await) < SETTLED_HEARTBEAT_BYTES {
        tokio::time::sleep(POLL_STEP).await;
    }
    cluster.nodes[1].process.freeze().expect("signalled");
    await_event(&cluster.nodes[0], "peer suspected").await;
    cluster.nodes[1].process.resume().expect("signalled");
    await_event(&cluster.nodes[0], "peer trusted again").await;
}

#[tokio::test]
async fn one_node_of_a_domain_succeeds_without_the_log() {
    let cluster = TestCluster::start(options(&[("a", 2)])).await.expect("started");
    for node in &cluster.nodes {
        node.wait_ready(LIMIT).await.expect("the log answers");
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
        tokio::time::sleep(POLL_STEP).await;
    }
    panic!("no node succeeds the leader");
}

#[tokio::test]
async fn a_node_with_another_key_is_refused_and_a_short_key_does_not_start() {
    let mut cluster = TestCluster::start(options(&[("a", 2)])).await.expect("started");
    cluster.scratch().write("peers.key", CONFLICTING_KEY).expect("written");
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
        let folder = cluster.scratch().path();
        let mut process = ChildProcess::start(name, &program, &arguments, folder).expect("started");
        assert_eq!(process.wait(LIMIT).await.expect("it ends").code(), Some(2));
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
