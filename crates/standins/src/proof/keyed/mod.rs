//! Nodes that receive keyed requests, with a log, a service and callers, in simulated time.

mod node;
mod service;
mod simulation;

use std::time::Duration;

use mustardgate_core::{
    idempotency::{BatcherSettings, KeyId, KeySettings},
    ids::RequestId,
    verdict::RunVerdict,
};

pub(super) use self::simulation::KeyedSimulation;

/// Simulated duration of one step.
const STEP: Duration = Duration::from_millis(20);
/// Time for which the log keeps records and callers may repeat a key.
const RETENTION: Duration = Duration::from_secs(8);
/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_secs(2);

/// Guards that the nodes apply.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyPolicy {
    /// Whether a request is dispatched only after its claim was read from the log as the first of its key.
    pub awaits_replay: bool,
    /// Whether a refused caller gets the verdict on the key instead of [`RunVerdict::NotRun`], which is true only of
    /// the delivery.
    pub reports_key_verdict: bool,
}

/// One delivery of a keyed request to one node.
#[derive(Clone, Debug)]
struct KeyDelivery {
    id: KeyId,
    request: RequestId,
}

/// Verdict on a key that was reported to a caller.
#[derive(Clone, Debug)]
struct ReportedVerdict {
    id: KeyId,
    verdict: RunVerdict,
}

fn key_settings() -> KeySettings {
    KeySettings {
        window: RETENTION,
        outcome_wait: Duration::from_millis(600),
        ..KeySettings::default()
    }
}

fn batcher_settings() -> BatcherSettings {
    BatcherSettings::default()
}
