//! Several nodes that take keyed requests, with a log, a service and callers, in steps of virtual time.

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

/// Duration of one step.
const STEP: Duration = Duration::from_millis(20);
/// Time for which the log keeps records, and callers may repeat a key.
const RETENTION: Duration = Duration::from_secs(8);
/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_secs(2);

/// Which of the product's rules the nodes follow.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyPolicy {
    /// Whether a request is dispatched only after its claim was read as the first of its key.
    pub awaits_replay: bool,
    /// Whether a caller is told the verdict on the key rather than on the delivery.
    pub reports_key_verdict: bool,
}

/// One delivery of a keyed request to one node.
#[derive(Clone, Debug)]
struct Delivery {
    id: KeyId,
    request: RequestId,
}

/// What a caller heard about a delivery.
#[derive(Clone, Debug)]
struct HeardVerdict {
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
