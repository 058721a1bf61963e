//! Takes up changes of the settings file, told by a signal or found by looking.

use std::{fs, path::PathBuf, sync::Arc, time::Duration};

use mustardgate::{events, node::StartError};
use slog::o;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time,
};

use crate::{context::RelayContext, settings::RelaySettings};

/// Time between two looks at the file, which may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file.
#[derive(Debug)]
pub(super) struct ReloadTask {
    context: Arc<RelayContext>,
    path: PathBuf,
    signals: Signal,
    last: String,
}

impl ReloadTask {
    /// Creates the task and installs the handler of the signal, whose default action would end the process.
    pub(super) fn new(context: Arc<RelayContext>, path: PathBuf) -> Result<Self, StartError> {
        let signals = signal(SignalKind::hangup()).map_err(|error| StartError::Environment {
            reason: error.to_string(),
        })?;
        let last = fs::read_to_string(&path).unwrap_or_default();
        Ok(Self {
            context,
            path,
            signals,
            last,
        })
    }

    /// Watches for ever.
    pub(super) async fn run(mut self) {
        loop {
            let is_signalled = tokio::select! {
                signalled = self.signals.recv() => signalled.is_some(),
                () = time::sleep(LOOK_INTERVAL) => false,
            };
            self.look(is_signalled);
        }
    }

    fn look(&mut self, is_signalled: bool) {
        // An unreadable file is being replaced; the next look sees the new one.
        let Ok(text) = fs::read_to_string(&self.path) else {
            return;
        };
        if text == self.last {
            return;
        }
        let logger = self.context.log.logger();
        match RelaySettings::parse(&text) {
            Ok(settings) => {
                let is_same = settings == self.context.settings;
                events::RELAY_SETTINGS_CHANGED.write(
                    logger,
                    o!("waits_for_restart" => !is_same, "is_signalled" => is_signalled),
                );
            }
            Err(error) => events::RELAY_SETTINGS_REFUSED.write(logger, o!("reason" => error.to_string())),
        }
        self.last = text;
    }
}
