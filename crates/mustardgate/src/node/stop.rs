//! A planned stop: signals, drain, and the end of requests that take too long.

use std::time::Duration;

use slog::o;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::JoinHandle,
    time,
};

use super::{StartError, StopOutcome};
use crate::{context::NodeContext, events};

/// Time for connections and tasks to end after the last request.
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

/// Stops taking requests, then waits for those in flight; a second signal or the limit ends them.
pub(super) async fn drain_node(node: &NodeContext, signals: &mut StopSignals) -> StopOutcome {
    node.drain.begin();
    events::DRAINING.write(&node.logger, o!("in_flight" => node.drain.in_flight()));
    let settings = &node.settings.drain;
    tokio::select! {
        () = time::sleep(settings.grace()) => {}
        () = signals.next() => return cut(node).await,
    }
    node.drain.closing().cancel();
    let is_idle = tokio::select! {
        is_idle = node.drain.wait_idle(settings.limit()) => is_idle,
        () = signals.next() => false,
    };
    if is_idle { StopOutcome::Drained } else { cut(node).await }
}

/// Waits until every answer has left: one whose pieces are all there may still be on its way to a slow caller.
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

async fn cut(node: &NodeContext) -> StopOutcome {
    events::DRAIN_CUT.write(&node.logger, o!("in_flight" => node.drain.in_flight()));
    node.drain.closing().cancel();
    node.drain.aborting().cancel();
    node.drain.wait_idle(CLOSE_LIMIT).await;
    StopOutcome::Cut
}
