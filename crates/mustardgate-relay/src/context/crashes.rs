//! What this node knows of prompts under which runners crash.

use std::{
    sync::{Mutex, MutexGuard},
    time::Instant,
};

use mustardgate::events;
use mustardgate_core::{
    clock,
    relay::{CrashDigest, CrashLedger, CrashSettings, ListedRunner, RelayRequest, shared_parts},
};
use slog::{Logger, o};

/// Holds the crash ledger of this node, which is exchanged with the leader.
#[derive(Debug)]
pub struct CrashGuard {
    ledger: Mutex<CrashLedger>,
    logger: Logger,
}

impl CrashGuard {
    /// Creates a guard that knows of no crash.
    pub fn new(settings: CrashSettings, logger: Logger) -> Self {
        Self {
            ledger: Mutex::new(CrashLedger::new(settings)),
            logger,
        }
    }

    /// Returns whether a request must not be sent because runners crash under a part of its prompt.
    pub fn refuses(&self, request: &RelayRequest) -> bool {
        self.lock().refuses(clock::now(), shared_parts(request))
    }

    /// Records that a runner crashed when it began to answer a request.
    pub fn record_crash(&self, runner: &ListedRunner, request: &RelayRequest) {
        let parts: Vec<String> = shared_parts(request).map(|part| format!("{part:x}")).collect();
        events::RELAY_RUNNER_CRASHED.write(
            &self.logger,
            o!(
                "parts" => parts.join(","),
                "backend" => runner.id.to_string(),
                "request" => request.id.to_string(),
            ),
        );
        let process = (runner.id.clone(), runner.started_at_ms);
        let now = clock::now();
        let mut ledger = self.lock();
        ledger.record_crash(now, &process, shared_parts(request));
        self.update(&mut ledger, now);
    }

    /// Records that a request was answered beyond the point at which runners crash.
    pub fn record_sound(&self, request: &RelayRequest) {
        if request.parts.len() > 1 {
            self.lock().record_sound(clock::now(), shared_parts(request));
        }
    }

    /// Returns what other nodes should know.
    pub fn digest(&self) -> CrashDigest {
        let now = clock::now();
        let mut ledger = self.lock();
        self.update(&mut ledger, now);
        ledger.digest(now)
    }

    /// Takes over what another node knows.
    pub fn merge(&self, digest: &CrashDigest) {
        let now = clock::now();
        let mut ledger = self.lock();
        ledger.merge(now, digest);
        self.update(&mut ledger, now);
    }

    fn update(&self, ledger: &mut CrashLedger, now: Instant) {
        for (part, crashes) in ledger.update(now) {
            events::RELAY_PROMPT_QUARANTINED
                .write(&self.logger, o!("crashes" => crashes, "part" => format!("{part:x}")));
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().expect("no holder of the lock panics")
    }
}
