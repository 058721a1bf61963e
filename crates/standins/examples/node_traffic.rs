//! Prints the control traffic and the processor time of each node of a small deployment without load.
//!
//! Usage: `node_traffic [RUNNERS_PER_DOMAIN] [SECONDS]`; the deployment has two failure domains with three nodes each.

use std::{collections::BTreeMap, error::Error, time::Duration};

use hyper::{
    Method, StatusCode,
    header::{AUTHORIZATION, HeaderValue, IF_NONE_MATCH},
};
use mustardgate_protocol::operators::{API_PREFIX, PutRequest};
use mustardgate_standins::{
    harness::{BackendKind, BackendOptions, ClusterOptions, DomainOptions, RunningNode, TestCluster},
    http::{call, json_request, plain_request},
};
use serde_json::{Value, json};
use smol_str::format_smolstr;

const DOMAINS: [&str; 2] = ["a", "b"];
const NODES_PER_DOMAIN: usize = 3;
const DEFAULT_RUNNERS_PER_DOMAIN: usize = 6;
const DEFAULT_SECONDS: u64 = 20;
const MODELS: usize = 8;
const SETTLE_TIME: Duration = Duration::from_secs(15);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Control bytes by the labels of their counter.
type BytesByLabels = BTreeMap<String, f64>;

fn options(runners: usize) -> ClusterOptions {
    let domains = DOMAINS.map(|name| DomainOptions {
        name: name.into(),
        region: "north".into(),
        nodes: NODES_PER_DOMAIN,
    });
    let backends = DOMAINS.into_iter().flat_map(|domain| {
        (0..runners).map(move |number| BackendOptions {
            name: format_smolstr!("{domain}-runner-{number}"),
            domain: domain.into(),
            kind: BackendKind::Engine,
            address: None,
            arguments: ["--load-ms", "0", "--report-lag-ms", "0"].map(str::to_owned).to_vec(),
        })
    });
    ClusterOptions {
        domains: domains.into(),
        backends: backends.collect(),
        platform_arguments: ["--list-lag-ms", "0"].map(str::to_owned).to_vec(),
        platform_settings: String::new(),
        extra_settings: "[drain]\ngrace_ms = 0\n".to_owned(),
    }
}

async fn put(cluster: &TestCluster, kind: &str, name: &str, spec: Value) -> Result<(), Box<dyn Error>> {
    let change = format_smolstr!("create-{kind}-{name}");
    let path = format!("{API_PREFIX}{kind}/{name}");
    let mut request = json_request(Method::PUT, &path, &PutRequest { spec, change });
    let bearer = HeaderValue::from_str(&format!("Bearer {}", cluster.operator_key))?;
    request.headers_mut().insert(AUTHORIZATION, bearer);
    request
        .headers_mut()
        .insert(IF_NONE_MATCH, HeaderValue::from_static("*"));
    let answer = call(cluster.nodes[0].addresses.operators.into(), request).await?;
    if answer.status == StatusCode::OK {
        return Ok(());
    }
    Err(format!("{kind} {name}: {} {:?}", answer.status, answer.body).into())
}

async fn declare(cluster: &TestCluster) -> Result<(), Box<dyn Error>> {
    for backend in &cluster.backends {
        let domain = &backend.name[..1];
        let spec = json!({
            "domain": domain, "region": "north", "address": backend.address, "role": "engine",
            "accelerators": [{ "memory_mib": 24_576 }],
        });
        put(cluster, "backend", &backend.name, spec).await?;
    }
    for number in 0..MODELS {
        let spec = json!({ "serving": "v1", "versions": [{ "name": "v1", "memory_mib": 1_000 }] });
        put(cluster, "model", &format!("model-{number}"), spec).await?;
    }
    Ok(())
}

async fn control_bytes(node: &RunningNode) -> Result<BytesByLabels, Box<dyn Error>> {
    let answer = call(node.addresses.operators.into(), plain_request(Method::GET, "/metrics")).await?;
    let text = String::from_utf8(answer.body.to_vec())?;
    let lines = text
        .lines()
        .filter_map(|line| line.strip_prefix("mustardgate_control_bytes_total"));
    let values = lines.filter_map(|line| line.rsplit_once(' '));
    Ok(values
        .filter_map(|(labels, value)| Some((labels.to_owned(), value.parse().ok()?)))
        .collect())
}

fn processor_seconds(node: &RunningNode) -> f64 {
    node.process.usage().map_or(0.0, |usage| usage.processor.as_secs_f64())
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let runners = arguments
        .next()
        .map_or(Ok(DEFAULT_RUNNERS_PER_DOMAIN), |text| text.parse())?;
    let seconds = arguments.next().map_or(Ok(DEFAULT_SECONDS), |text| text.parse())?;
    let cluster = TestCluster::start(options(runners)).await?;
    for node in &cluster.nodes {
        node.wait_ready(READY_TIMEOUT).await?;
    }
    declare(&cluster).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let mut before = Vec::new();
    for node in &cluster.nodes {
        before.push((control_bytes(node).await?, processor_seconds(node)));
    }
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    for (node, (bytes_before, processor_before)) in cluster.nodes.iter().zip(before) {
        let used = (processor_seconds(node) - processor_before) / seconds as f64 * 100.0;
        println!("{}: {used:.2}% of a core", node.name);
        for (labels, value) in control_bytes(node).await? {
            let rate = (value - bytes_before.get(&labels).copied().unwrap_or_default()) / seconds as f64;
            println!("  {rate:>8.0} B/s {labels}");
        }
    }
    Ok(())
}
