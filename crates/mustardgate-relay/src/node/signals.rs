//! The signals that a node handles.

use mustardgate::node::StartError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a node handles. Without a handler each of them ends the process at once.
#[derive(Debug)]
pub struct NodeSignals {
    pub(super) stop: StopSignals,
    /// Asks for a check of the settings file.
    pub(super) hang_up: Signal,
}

/// The signals that stop a node. Those that follow the first one change nothing.
#[derive(Debug)]
pub(super) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl NodeSignals {
    /// Installs the handlers, within the context of a runtime. A program does so before all else, since a signal may come in
    /// its first milliseconds.
    ///
    /// # Errors
    /// [`StartError::Environment`] when a handler cannot be installed.
    pub fn install() -> Result<Self, StartError> {
        let install = |kind| {
            signal(kind).map_err(|error| StartError::Environment {
                reason: error.to_string(),
            })
        };
        Ok(Self {
            hang_up: install(SignalKind::hangup())?,
            stop: StopSignals {
                terminate: install(SignalKind::terminate())?,
                interrupt: install(SignalKind::interrupt())?,
            },
        })
    }
}

impl StopSignals {
    /// Waits for the next signal that stops the node.
    pub(super) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
