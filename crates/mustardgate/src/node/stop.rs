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
        })
    }

    /// Waits for the next signal.
    pub(super) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Reports not ready, closes the callers' listener after the grace period and waits for the requests in flight; a
/// second signal or the drain limit ends them early.
pub(super) async fn drain_node(node: &NodeContext, signals: &mut StopSignals) -> StopOutcome {
    node.drain.begin();
    events::DRAINING.write(&node.logger, o!("in_flight" => node.drain.in_flight()));
    let settings = &node.settings.drain;
    tokio::select! {
        () = time::sleep(settings.grace_period()) => {}
        () = signals.next() => return cut_requests(node).await,
    }
    node.drain.closing().cancel();
    let is_idle = tokio::select! {
        is_idle = node.drain.wait_idle(settings.limit()) => is_idle,
        () = signals.next() => false,
    };
    if is_idle {
        StopOutcome::Drained
    } else {
        cut_requests(node).await
    }
}

/// Waits until the callers' connections are closed: the answer to a finished request may still be in transit to a slow
/// caller.
pub(super) async fn close_callers(
    node: &NodeContext,
    signals: &mut StopSignals,
    callers: JoinHandle<()>,
    outcome: StopOutcome,
) -> StopOutcome {
    if outcome == StopOutcome::Cut {
        drop(time::timeout(CLOSE_LIMIT, callers).await);
        return outcome;
    }
    let is_closed = tokio::select! {
        closed = time::timeout(node.settings.drain.limit(), callers) => closed.is_ok(),
        () = signals.next() => false,
    };
    if is_closed {
        StopOutcome::Drained
    } else {
        StopOutcome::Cut
    }
}

async fn cut_requests(node: &NodeContext) -> StopOutcome {
    events::DRAIN_CUT.write(&node.logger, o!("in_flight" => node.drain.in_flight()));
    node.drain.closing().cancel();
    node.drain.aborting().cancel();
    node.drain.wait_idle(CLOSE_LIMIT).await;
    StopOutcome::Cut
}
