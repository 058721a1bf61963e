//! Measures a running deployment and compares it with the figures that the slopes predict for its size.

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use hyper::Method;
use mustardgate_core::{clock, ports::EngineReport};
use mustardgate_protocol::engine::REPORT_PATH;
use serde::Serialize;
use smol_str::format_smolstr;
use tokio::time;

use super::{
    design::{
        BASE_ROUNDS_PER_SECOND, LISTS_PER_SECOND, RENEWALS_PER_SECOND, REPORTS_PER_SECOND, SlopeTable, reads_per_second,
    },
    slope::MeasuredSlope,
};
use crate::{
    harness::{
        BackendKind, BackendOptions, BinarySet, ChildProcess, ClusterOptions, DomainOptions, ProcessUsage, TestCluster,
    },
    http::{call, plain_request},
    platform::{PlatformStats, STATS_PATH},
};

const DOMAINS: usize = 3;
const NODES_PER_DOMAIN: usize = 3;
const RUNNERS_PER_DOMAIN: usize = 12;
const MODELS: usize = 24;
/// Time for the weights to be loaded and the traffic to become steady.
const SETTLE_TIME: Duration = Duration::from_secs(20);
const MEASURED_TIME: Duration = Duration::from_secs(30);
const APPLY_TIMEOUT: Duration = Duration::from_secs(60);
const CONTROL_BYTES_PREFIX: &str = "mustardgate_control_bytes_total{";

type RunResult<T> = Result<T, Box<dyn std::error::Error>>;

/// One figure of the running deployment, with the prediction by the slopes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DeploymentFigure {
    /// What was measured.
    pub name: String,
    /// Unit.
    pub unit: &'static str,
    /// Measured figure; the mean over all nodes for a figure of one node.
    pub measured: f64,
    /// Figure that the slopes predict, if they cover it.
    pub predicted: Option<f64>,
}

/// Size of a running deployment and the figures measured on it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DeploymentReport {
    /// Nodes.
    pub nodes: usize,
    /// Runners.
    pub runners: usize,
    /// Models declared.
    pub models: usize,
    /// Seconds measured.
    pub seconds: f64,
    /// Mean number of models that a runner held.
    pub held: f64,
    /// The figures.
    pub figures: Vec<DeploymentFigure>,
}

/// Counters of all nodes and of the platform at one time.
struct CounterSample {
    at: std::time::Instant,
    bytes: BTreeMap<String, f64>,
    usages: Vec<ProcessUsage>,
    stats: PlatformStats,
}

/// Starts a deployment, measures it and compares it with the predictions of the slopes.
///
/// # Errors
/// Any failure to start a process or to read from it.
pub async fn measure_deployment(slopes: &[MeasuredSlope]) -> RunResult<DeploymentReport> {
    let cluster = TestCluster::start(options()).await?;
    apply_declarations(&cluster).await?;
    time::sleep(SETTLE_TIME).await;
    let first = CounterSample::take(&cluster).await?;
    time::sleep(MEASURED_TIME).await;
    let last = CounterSample::take(&cluster).await?;
    let held = mean_held(&cluster).await?;
    let seconds = last.at.saturating_duration_since(first.at).as_secs_f64();
    let mut report = DeploymentReport {
        nodes: cluster.nodes.len(),
        runners: cluster.backends.len(),
        models: MODELS,
        seconds,
        held,
        figures: Vec::new(),
    };
    report.figures = compare(&report, SlopeTable(slopes), &first, &last);
    Ok(report)
}

fn domain_name(index: usize) -> smol_str::SmolStr {
    format_smolstr!("domain-{index}")
}

fn options() -> ClusterOptions {
    let domain = |index| DomainOptions {
        name: domain_name(index),
        region: "north".into(),
        nodes: NODES_PER_DOMAIN,
    };
    let backend = |index: usize| BackendOptions {
        name: format_smolstr!("runner-{index:02}"),
        domain: domain_name(index / RUNNERS_PER_DOMAIN),
        kind: BackendKind::Engine,
        address: None,
        arguments: ["--load-ms", "0"].map(str::to_owned).to_vec(),
    };
    ClusterOptions {
        domains: (0..DOMAINS).map(domain).collect(),
        backends: (0..DOMAINS * RUNNERS_PER_DOMAIN).map(backend).collect(),
        extra_settings: "[drain]\ngrace_ms = 0\n".to_owned(),
        ..ClusterOptions::default()
    }
}

fn declarations(cluster: &TestCluster) -> Result<String, std::fmt::Error> {
    let mut text = String::new();
    for (index, backend) in cluster.backends.iter().enumerate() {
        write!(
            text,
            "[[resource]]\nkind = \"backend\"\nname = \"{}\"\n[resource.spec]\ndomain = \"{}\"\nregion = \"north\"\n\
             address = \"{}\"\nrole = \"engine\"\nfencing = \"ignores\"\n\
             accelerators = [{{ memory_mib = 24576 }}, {{ memory_mib = 24576 }}]\n",
            backend.name,
            domain_name(index / RUNNERS_PER_DOMAIN),
            backend.address
        )?;
    }
    for index in 0..MODELS {
        write!(
            text,
            "[[resource]]\nkind = \"model\"\nname = \"model-{index:02}\"\n[resource.spec]\nserving = \"v1\"\n\
             versions = [{{ name = \"v1\", memory_mib = 8000 }}]\n"
        )?;
    }
    Ok(text)
}

async fn apply_declarations(cluster: &TestCluster) -> RunResult<()> {
    let scratch = cluster.scratch();
    let folder = scratch.path().join("declared");
    std::fs::create_dir_all(&folder)?;
    std::fs::write(folder.join("all.toml"), declarations(cluster)?)?;
    let key_file = scratch.write("operators.key", &cluster.operator_key)?;
    let server = cluster.nodes[0].addresses.operators.to_string();
    let arguments = [
        "apply",
        "-f",
        &folder.display().to_string(),
        "--server",
        &server,
        "--key-file",
    ];
    let mut arguments = arguments.map(str::to_owned).to_vec();
    arguments.push(key_file.display().to_string());
    let program = BinarySet::locate()?.program("mustardctl")?;
    let mut process = ChildProcess::start("apply", &program, &arguments, scratch.path())?;
    if process.wait(APPLY_TIMEOUT).await?.success() {
        return Ok(());
    }
    Err(std::fs::read_to_string(process.output())?.into())
}

async fn mean_held(cluster: &TestCluster) -> RunResult<f64> {
    let mut held = 0;
    for backend in &cluster.backends {
        let answer = call(backend.address, plain_request(Method::GET, REPORT_PATH)).await?;
        held += answer.json::<EngineReport>()?.resident.len();
    }
    Ok(held as f64 / cluster.backends.len() as f64)
}

impl CounterSample {
    async fn take(cluster: &TestCluster) -> RunResult<Self> {
        let mut bytes = BTreeMap::new();
        let mut usages = Vec::new();
        for node in &cluster.nodes {
            let address = node.addresses.operators.into();
            let answer = call(address, plain_request(Method::GET, "/metrics")).await?;
            add_control_bytes(&mut bytes, std::str::from_utf8(&answer.body)?);
            usages.push(node.process.usage().ok_or("a node has ended")?);
        }
        let answer = call(cluster.platform_address, plain_request(Method::GET, STATS_PATH)).await?;
        Ok(Self {
            at: clock::now(),
            bytes,
            usages,
            stats: answer.json()?,
        })
    }

    fn processor_s(&self) -> f64 {
        self.usages.iter().map(|usage| usage.processor.as_secs_f64()).sum()
    }

    fn resident_bytes(&self) -> f64 {
        self.usages.iter().map(|usage| usage.resident_bytes as f64).sum()
    }
}

/// Adds the counters of control bytes in one node's metrics to the sums by label.
fn add_control_bytes(bytes: &mut BTreeMap<String, f64>, metrics: &str) {
    for line in metrics
        .lines()
        .filter_map(|line| line.strip_prefix(CONTROL_BYTES_PREFIX))
    {
        if let Some((labels, value)) = line.split_once("} ") {
            *bytes.entry(labels.to_owned()).or_default() += value.parse().unwrap_or(0.0);
        }
    }
}

fn compare(
    report: &DeploymentReport,
    slopes: SlopeTable<'_>,
    first: &CounterSample,
    last: &CounterSample,
) -> Vec<DeploymentFigure> {
    let nodes = report.nodes as f64;
    let rate_per_node = |now: f64, before: f64| (now - before) / report.seconds / nodes;
    let mut figures = Vec::new();
    for (labels, now) in &last.bytes {
        let before = first.bytes.get(labels).copied().unwrap_or_default();
        figures.push(DeploymentFigure {
            name: labels.replace('"', ""),
            unit: "B/s a node",
            measured: rate_per_node(*now, before),
            predicted: predicted_bytes(report, slopes, labels),
        });
    }
    let mut push = |name: &str, unit, measured, predicted| {
        figures.push(DeploymentFigure {
            name: name.to_owned(),
            unit,
            measured,
            predicted,
        });
    };
    let processor = rate_per_node(last.processor_s(), first.processor_s());
    push(
        "processor",
        "core a node",
        processor,
        Some(predicted_processor(report, slopes)),
    );
    push("resident memory", "B a node", last.resident_bytes() / nodes, None);
    let rate = |now: u64, before: u64| (now - before) as f64 / report.seconds;
    let reads = rate(last.stats.reads, first.stats.reads);
    push("log reads", "1/s", reads, Some(reads_per_second(nodes, DOMAINS as f64)));
    let appends = rate(last.stats.appends, first.stats.appends);
    push(
        "log appends",
        "1/s",
        appends,
        Some(DOMAINS as f64 * RENEWALS_PER_SECOND),
    );
    let lists = rate(last.stats.lists, first.stats.lists);
    push("lists", "1/s", lists, Some(nodes * LISTS_PER_SECOND));
    figures
}

fn predicted_bytes(report: &DeploymentReport, slopes: SlopeTable<'_>, labels: &str) -> Option<f64> {
    if !labels.contains("\"received\"") {
        return None;
    }
    let runners = report.runners as f64;
    let vms = runners + report.nodes as f64;
    if labels.contains("engine_report") {
        // Only the leader of a failure domain reads its runners' reports; the figure is the mean over all nodes.
        Some(runners / report.nodes as f64 * REPORTS_PER_SECOND * slopes.at("report_body", report.held))
    } else if labels.contains("vm_list") {
        Some(LISTS_PER_SECOND * slopes.at("list_body", vms))
    } else if labels.contains("log_read") {
        let readers_per_node = reads_per_second(report.nodes as f64, DOMAINS as f64) / report.nodes as f64;
        Some(readers_per_node * DOMAINS as f64 * RENEWALS_PER_SECOND * slopes.per_unit("lease_log"))
    } else {
        None
    }
}

/// Returns the processor time of a node's decisions only; the slopes do not include sockets, HTTP and the runtime.
fn predicted_processor(report: &DeploymentReport, slopes: SlopeTable<'_>) -> f64 {
    let runners = report.runners as f64;
    let report_us = slopes.at("report_parse", report.held)
        + slopes.at("report_take", report.models as f64)
        + slopes.at("route_upsert", runners);
    // The work of base placement grows with models times runners; its slope by models is measured with 1,600 runners.
    let base_us = slopes.per_unit("base_by_models") * report.models as f64 * runners / 1_600.0;
    (runners / report.nodes as f64 * REPORTS_PER_SECOND * report_us + BASE_ROUNDS_PER_SECOND * base_us) / 1e6
}
