//! Starts a relay node's tasks and listeners, and stops them in order.

mod build;
mod reload;
mod seeds;
mod signals;
mod stop;
mod supervision;

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use metrics_exporter_prometheus::PrometheusHandle;
use mustardgate::{
    buffers::BufferBudget,
    events,
    http::bind_listener,
    node::{StartError, StopOutcome},
    telemetry::install_recorder,
};
use mustardgate_core::{
    buffers::{BufferLimits, ListenerRole},
    ports::LogTopic,
};
use slog::o;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::Signal,
};

pub use self::{build::build_context, signals::NodeSignals, supervision::keep_running};
use self::{reload::ReloadTask, seeds::load_neighbour_records, stop::stop_node};
use crate::{
    context::{PlatformPorts, RelayContext},
    follow::TopicFollower,
    gateway::{CallerListener, answer_caller, serve_callers},
    leader::{LeaseTask, PlanTask, WatchTask},
    link::LinkTask,
    peers::{CrashRecordTask, DigestTask, NoticeTask, RecordTask, VersionRecordTask, serve_peers},
    settings::RelaySettings,
};

/// Callers' connections may use the process's file descriptors divided by this number.
const CALLER_DESCRIPTOR_DIVISOR: u64 = 2;
/// Readiness checks have the places of callers divided by this to themselves, if they come to a listener of their own.
const READINESS_DIVISOR: usize = 8;

/// Runs a node until a planned stop has ended; `path` is the file that the settings came from, `buffers` the budget that
/// the ports draw on as well, and `signals` are handled since the program began.
///
/// # Errors
/// [`StartError`] when the node cannot start.
pub async fn run_relay(
    settings: RelaySettings,
    path: PathBuf,
    ports: PlatformPorts,
    buffers: Arc<BufferBudget>,
    signals: NodeSignals,
) -> Result<StopOutcome, StartError> {
    let metrics = install_recorder().map_err(|reason| StartError::Environment { reason })?;
    let context = build_context(settings, ports, buffers);
    let logger = context.log.logger().clone();
    events::STARTING.write(&logger, o!("version" => env!("CARGO_PKG_VERSION")));
    let tasks = start(&context, path, metrics, signals.hang_up).await?;
    let listen = &context.settings.listen;
    let seeds: Vec<String> = listen.seeds.iter().map(ToString::to_string).collect();
    events::LISTENING.write(
        &logger,
        o!(
            "link_mbps" => context.settings.node.link_mbps,
            "seeds" => seeds.join(","),
            "callers" => listen.callers.to_string(),
        ),
    );
    let outcome = stop_node(&context, signals.stop, tasks.callers).await;
    events::STOPPED.write(&logger, o!("outcome" => format!("{outcome:?}")));
    Ok(outcome)
}

/// Tasks that a planned stop waits for.
#[derive(Debug)]
struct NodeTasks {
    callers: Vec<tokio::task::JoinHandle<()>>,
}

async fn start(
    context: &Arc<RelayContext>,
    path: PathBuf,
    metrics: PrometheusHandle,
    hang_up: Signal,
) -> Result<NodeTasks, StartError> {
    let listen = &context.settings.listen;
    let mut callers = Vec::new();
    let limits = context.buffers.limits();
    for (address, role, places) in caller_places(&context.settings, limits) {
        let listener = CallerListener {
            listener: bind(address, limits.queued_connections(role))?,
            handler: answer_caller,
            places,
        };
        callers.push(tokio::spawn(serve_callers(Arc::clone(context), listener)));
    }
    keep(context, "crashes", |context| CrashRecordTask::new(context).run());
    for topic in [LogTopic::Configuration, LogTopic::Runners] {
        keep(context, "follow", move |context| {
            TopicFollower::new(context, topic).run()
        });
    }
    if let Some(address) = listen.peers {
        // A planned stop waits for it as well, because it passes on requests of other nodes.
        callers.push(tokio::spawn(serve_peers(
            Arc::clone(context),
            bind(address, limits.queued_connections(ListenerRole::Nodes))?,
            metrics,
        )));
        tokio::spawn(LeaseTask::new(Arc::clone(context), address).run());
        keep(context, "plan", |context| PlanTask::new(context).run());
        keep(context, "watch", |context| WatchTask::new(context).run());
        keep(context, "digest", move |context| {
            DigestTask::new(context, address).run()
        });
        keep(context, "versions", |context| VersionRecordTask::new(context).run());
        tokio::spawn(load_neighbour_records(Arc::clone(context)));
        let datagrams = bind_datagrams(address).await?;
        if let Some(task) = NoticeTask::new(Arc::clone(context), datagrams) {
            tokio::spawn(task.run());
        }
        if let Some(task) = RecordTask::new(Arc::clone(context)) {
            tokio::spawn(task.run());
        }
    }
    keep(context, "link", |context| LinkTask::new(context).run());
    keep(context, "sweep", sweep);
    tokio::spawn(ReloadTask::new(Arc::clone(context), path, hang_up).run());
    Ok(NodeTasks { callers })
}

/// Keeps a task running that holds nothing which is needed after a panic.
fn keep<T: Future<Output = ()> + Send + 'static>(
    context: &Arc<RelayContext>,
    name: &'static str,
    start: impl Fn(Arc<RelayContext>) -> T + Send + 'static,
) {
    let logger = context.log.logger().clone();
    let context = Arc::clone(context);
    // The task ends with the runtime.
    drop(keep_running(logger, name, move || start(Arc::clone(&context))));
}

/// Returns the listeners for callers and for readiness checks, each with the connections that it may have open at once.
fn caller_places(settings: &RelaySettings, limits: BufferLimits) -> Vec<(SocketAddr, ListenerRole, usize)> {
    let by_descriptors = (settings.node.max_descriptors / CALLER_DESCRIPTOR_DIVISOR) as usize;
    let places = by_descriptors.min(limits.places()).max(1);
    let listen = &settings.listen;
    if listen.readiness == listen.callers {
        return vec![(listen.callers, ListenerRole::Callers, places)];
    }
    let checks = (places / READINESS_DIVISOR).max(1);
    vec![
        (listen.callers, ListenerRole::Callers, (places - checks).max(1)),
        (listen.readiness, ListenerRole::Checks, checks),
    ]
}

fn bind(address: SocketAddr, queued: usize) -> Result<TcpListener, StartError> {
    bind_listener(address, queued).map_err(|source| StartError::Listen { address, source })
}

async fn bind_datagrams(address: SocketAddr) -> Result<UdpSocket, StartError> {
    UdpSocket::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

/// Periodically removes runners whose grace period after an outage is over, and closes expired idle connections.
async fn sweep(context: Arc<RelayContext>) {
    /// Time between two sweeps.
    const SWEEP_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        context.fleet.sweep();
        context.buffers.publish();
        context.helpers.close_expired();
        context.streams.sweep(context.leader.lease_time(), &context.fleet);
        context.limits.retain(&context.fleet);
    }
}
