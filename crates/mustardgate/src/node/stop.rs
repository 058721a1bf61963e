//! Planned stop: signals, drain, and the early end of requests that exceed the drain limit.

use std::time::Duration;

use slog::o;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::JoinHandle,
    time,
};

use super::{StartError, StopOutcome};
use crate::{context::NodeContext, events};

/// Longest wait for requests, connections or tasks to end after their cancellation.
pub(super) const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// The signals that stop a node.
#[derive(Debug)]
pub(super) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    /// Installs the handlers.
    pub(super) fn install() -> Result<Self, StartError> {
        let install = |kind| {
            signal(kind).map_err(|error| StartError::Environment {
                reason: error.to_string(),
            })
        };
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hang_up: install(SignalKind::hangup())?,
        })
    }

    /// Waits for the signal that begins a planned stop.
    pub(super) async fn first(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
            _ = self.hang_up.recv() => {}
        }
    }

    /// Waits for the next signal that ends a planned stop early; a hang-up does not, because service managers send it
    /// together with the signal that begins the stop.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Reports not ready, closes the callers' listener after the grace period and waits until every request is answered; a
/// second signal or the drain limit ends those that are left, each with its verdict.
pub(super) async fn drain_node(
    node: &NodeContext,
    signals: &mut StopSignals,
    mut callers: JoinHandle<()>,
) -> StopOutcome {
    node.drain.begin_window(node.settings.drain.timing());
    events::DRAINING.write(&node.logger, o!("in_flight" => node.drain.in_flight()));
    let is_finished = tokio::select! {
        () = finish_requests(node, &mut callers) => true,
        () = node.drain.wait_end() => false,
        () = signals.next() => false,
    };
    if is_finished {
        return StopOutcome::Drained;
    }
    events::DRAIN_CUT.write(&node.logger, o!("in_flight" => node.drain.in_flight()));
    node.drain.end_window();
    node.drain.wait_idle(CLOSE_LIMIT).await;
    if !callers.is_finished() {
        drop(time::timeout(CLOSE_LIMIT, callers).await);
    }
    StopOutcome::Cut
}

/// Waits until the callers' connections are closed, by which time their answers are sent, and until the calls whose
/// callers have disconnected are finished.
async fn finish_requests(node: &NodeContext, callers: &mut JoinHandle<()>) {
    time::sleep(node.settings.drain.grace_period()).await;
    node.drain.closing().cancel();
    drop(callers.await);
    while !node.drain.wait_idle(CLOSE_LIMIT).await {}
}
