//! Detects changes of the settings file, after a signal or by a periodic check, and logs whether they need a restart.

use std::{fs, path::PathBuf, sync::Arc, time::Duration};

use mustardgate::events;
use slog::o;
use tokio::{signal::unix::Signal, time};

use crate::{context::RelayContext, settings::RelaySettings};

/// Time between two checks of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Checks the settings file for changes.
#[derive(Debug)]
pub(super) struct ReloadTask {
    context: Arc<RelayContext>,
    path: PathBuf,
    signals: Signal,
    last_text: String,
}

impl ReloadTask {
    /// Creates the task of a node whose hang-up signals ask for a check.
    pub(super) fn new(context: Arc<RelayContext>, path: PathBuf, signals: Signal) -> Self {
        let last_text = fs::read_to_string(&path).unwrap_or_default();
        Self {
            context,
            path,
            signals,
            last_text,
        }
    }

    /// Runs until the process ends.
    pub(super) async fn run(mut self) {
        loop {
            let is_signalled = tokio::select! {
                signalled = self.signals.recv() => signalled.is_some(),
                () = time::sleep(CHECK_INTERVAL) => false,
            };
            self.check_file(is_signalled);
        }
    }

    fn check_file(&mut self, is_signalled: bool) {
        // An unreadable file is being replaced; the next check reads the new one.
        let Ok(text) = fs::read_to_string(&self.path) else {
            return;
        };
        if text == self.last_text {
            return;
        }
        let logger = self.context.log.logger();
        match RelaySettings::parse_with(&text, &self.context.settings.stated) {
            Ok(settings) => {
                let is_same = settings == self.context.settings;
                events::RELAY_SETTINGS_CHANGED.write(
                    logger,
                    o!("waits_for_restart" => !is_same, "is_signalled" => is_signalled),
                );
            }
            Err(error) => events::RELAY_SETTINGS_REFUSED.write(logger, o!("reason" => error.to_string())),
        }
        self.last_text = text;
    }
}
