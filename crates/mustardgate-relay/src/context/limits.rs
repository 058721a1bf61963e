//! What this node knows of the rate limits that runners state.

use std::{
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::RunnerProcess,
    relay::{LimitLedger, LimitStatement, ListedRunner},
};
use slog::{Logger, o};

/// Holds the limits of runners.
#[derive(Debug)]
pub struct LimitGuard {
    ledger: Mutex<LimitLedger>,
    logger: Logger,
}

impl LimitGuard {
    /// Creates a guard that knows of no limit.
    pub fn new(logger: Logger) -> Self {
        Self {
            ledger: Mutex::default(),
            logger,
        }
    }

    /// Records what an answer of a runner says, whose request was sent at `sent_at`.
    pub fn observe(&self, runner: &ListedRunner, statement: LimitStatement, sent_at: Instant) {
        let change = self
            .lock()
            .observe(clock::now(), &process_of(runner), statement, sent_at);
        let Some(change) = change else { return };
        let describe = |rate: Option<f64>| rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        events::RELAY_RUNNER_LIMITED.write(
            &self.logger,
            o!(
                "now" => describe(change.now),
                "before" => describe(change.before),
                "backend" => runner.id.to_string(),
            ),
        );
    }

    fn lock(&self) -> MutexGuard<'_, LimitLedger> {
        self.ledger.lock().expect("no holder of the lock panics")
    }
}

fn process_of(runner: &ListedRunner) -> RunnerProcess {
    (runner.id.clone(), runner.started_at_ms)
}
