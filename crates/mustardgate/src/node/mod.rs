//! Starts the node's tasks and listeners, and stops them in order.

mod build;
mod stop;
mod tasks;

use std::{io, net::SocketAddr, sync::Arc};

use mustardgate_core::{
    buffers::{ListenerRole, READ_BYTES},
    ids::NodeId,
};
use slog::o;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

pub use self::build::build_context;
use crate::{
    context::NodeContext,
    events,
    gateway::{answer_caller, key_digest},
    http::{ConnectionLimits, bind_listener, serve_connections},
    logging::build_logger,
    operator::{OperatorContext, answer_operator},
    peers::{MetricsMeter, PeerHub, PeerResponder, serve_peers},
    settings::{NodeSettings, SettingsError, read_secret},
    telemetry::install_recorder,
};

/// Maximum number of operators' connections open at once.
const MAX_OPERATOR_CONNECTIONS: usize = 256;

/// Further requests of HTTP/2 connections have the room of this part of the places for connections.
const STREAM_DIVISOR: usize = 4;

/// Why a node did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings or a file with a secret were refused.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// Cause.
        source: SettingsError,
    },
    /// A listener could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A signal handler or the metrics recorder could not be set up.
    #[snafu(display("cannot start: {reason}"))]
    Environment {
        /// Explanation.
        reason: String,
    },
}

/// How a node stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// Every request in flight was finished.
    Drained,
    /// Requests in flight were ended early, each with its verdict, or an answer did not reach its caller in time.
    Cut,
}

/// Runs a node until a signal stops it.
///
/// # Errors
/// [`StartError`] when the node could not start.
pub async fn run_node(settings: NodeSettings) -> Result<StopOutcome, StartError> {
    let logger = build_logger(&settings.logging, &settings.node.name);
    let node_name: NodeId = settings.node.name.clone();
    events::STARTING.write(&logger, o!("domain" => settings.node.domain.to_string()));
    let metrics = install_recorder().map_err(|reason| StartError::Environment { reason })?;
    let operator_key = read_secret(&settings.operators.key_file)?;
    let peer_key = settings.peers.read_key()?;
    // Installed before a listener is open, so that no signal ends the process while a caller may be connected.
    let mut signals = stop::StopSignals::install()?;
    let limits = settings.node.buffer_limits();
    let caller_listener = listen(
        settings.callers.listen,
        limits.queued_connections(ListenerRole::Callers),
    )?;
    let operator_listener = listen(
        settings.operators.listen,
        limits.queued_connections(ListenerRole::Checks),
    )?;
    let peer_listener = listen(
        settings.peers.listen.into(),
        limits.queued_connections(ListenerRole::Nodes),
    )?;
    let hub = Arc::new(PeerHub::new(peer_key, Arc::new(MetricsMeter), logger.clone()));
    let node = build_context(settings, logger);
    node.buffers
        .check_body_limit(node.settings.callers.max_body_bytes, &node.logger);
    let operator_context = Arc::new(OperatorContext {
        node: Arc::clone(&node),
        metrics,
        key_digest: key_digest(&operator_key),
    });
    let shutdown = CancellationToken::new();
    let tracker = TaskTracker::new();
    tasks::spawn_tasks(&node, &hub, &tracker, &shutdown);
    tracker.spawn(serve_peers(
        peer_listener,
        Arc::clone(&hub),
        Arc::new(PeerResponder::new(Arc::clone(&node), hub)),
        node.logger.clone(),
        shutdown.clone(),
    ));
    let callers = tokio::spawn(serve_callers(Arc::clone(&node), caller_listener));
    tracker.spawn(serve_operators(operator_context, operator_listener, shutdown.clone()));
    events::LISTENING.write(&node.logger, o!("node" => node_name.to_string()));
    signals.first().await;
    let outcome = stop::drain_node(&node, &mut signals, callers).await;
    shutdown.cancel();
    tracker.close();
    drop(tokio::time::timeout(stop::CLOSE_LIMIT, tracker.wait()).await);
    events::STOPPED.write(&node.logger, o!("outcome" => format!("{outcome:?}")));
    Ok(outcome)
}

fn listen(address: SocketAddr, queued: usize) -> Result<TcpListener, StartError> {
    bind_listener(address, queued).context(ListenSnafu { address })
}

async fn serve_callers(node: Arc<NodeContext>, listener: TcpListener) {
    let settings = &node.settings.callers;
    let places = node.buffers.limits().places_with_heads(settings.max_head_bytes);
    let limits = ConnectionLimits {
        // The rest of the room is for further requests of HTTP/2 connections.
        max_connections: settings.max_connections.min(places - places / STREAM_DIVISOR),
        head_timeout: settings.receive_timeout(),
        max_head_bytes: settings.max_head_bytes,
        max_streams: Some(settings.max_streams),
        buffers: Some(Arc::clone(&node.buffers)),
    };
    let closing = node.drain.closing();
    let logger = node.logger.clone();
    let handler = move |request| answer_caller(Arc::clone(&node), request);
    serve_connections(listener, handler, limits, closing, logger).await;
}

async fn serve_operators(context: Arc<OperatorContext>, listener: TcpListener, shutdown: CancellationToken) {
    let head_timeout = context.node.settings.callers.receive_timeout();
    let limits = ConnectionLimits {
        max_connections: MAX_OPERATOR_CONNECTIONS,
        head_timeout,
        max_head_bytes: READ_BYTES,
        max_streams: None,
        buffers: None,
    };
    let logger = context.node.logger.clone();
    let handler = move |request| answer_operator(Arc::clone(&context), request);
    serve_connections(listener, handler, limits, shutdown, logger).await;
}
