//! An operator who changes resources through randomly chosen nodes, and an observer of the version that a node reports.

use std::{sync::Arc, time::Duration};

use mustardctl::client::SendOutcome;
use mustardgate_core::{
    ids::{ChangeId, Offset},
    resources::{ResourceKey, ResourceKind, ResourceSpec},
};
use mustardgate_protocol::operators::parse_spec;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{
    declarations::{CHANGED_MODEL, CHANGED_SERVICE, model_spec, service_spec},
    testbed::NodeTarget,
};

const CHANGE_PAUSE: Duration = Duration::from_millis(400);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Attempts to make one change, each through a randomly chosen node, while its outcome is unknown.
const CHANGE_ATTEMPTS: usize = 3;
/// Changes of the service's share for each change of the model's serving version.
const CHANGES_PER_ROLLOUT: u32 = 5;

/// An accepted change of the service's share.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptedChange {
    pub sent_at: Instant,
    pub version: Offset,
    pub share: u32,
}

/// Changes that the operator sent, by outcome.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLog {
    pub sent: u64,
    pub accepted: Vec<AcceptedChange>,
    pub unknown: u64,
    pub refused: u64,
    pub rollouts: u64,
}

/// A version of the changed service, with the time when a node first reported it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedVersion {
    pub observed_at: Instant,
    pub version: Offset,
    pub share: u32,
}

/// Returns the key of the service whose share the operator changes.
pub(super) fn changed_service() -> ResourceKey {
    ResourceKey {
        kind: ResourceKind::Service,
        name: CHANGED_SERVICE.into(),
    }
}

/// Returns the specification of that service with the given share.
pub(super) fn share_spec(share: u32) -> ResourceSpec {
    parse_spec(ResourceKind::Service, &service_spec(share)).expect("the specification matches its kind")
}

/// Reads the version and specification of a resource from a node, or returns `None` when that fails or exceeds
/// [`READ_TIMEOUT`].
pub(super) async fn read_version(target: &NodeTarget, key: &ResourceKey) -> Option<(Offset, ResourceSpec)> {
    let read = tokio::time::timeout(READ_TIMEOUT, target.api.get(key)).await;
    let resource = read.ok()?.ok()?.resource;
    Some((resource.version, resource.spec))
}

/// Sends one change through a node and returns its outcome as reported by the node.
pub(super) async fn send_change(
    target: &NodeTarget,
    key: &ResourceKey,
    spec: &ResourceSpec,
    expected: Offset,
    change: &ChangeId,
) -> ChangeOutcome {
    let put = target.api.put(key, spec, Some(expected), change);
    match tokio::time::timeout(CHANGE_TIMEOUT, put).await {
        Ok(Ok(SendOutcome::Accepted(answer))) => ChangeOutcome::Accepted(answer.version),
        Ok(Err(mustardctl::cli::CommandError::Conflict { .. })) => ChangeOutcome::Refused,
        Ok(Ok(SendOutcome::Unknown) | Err(_)) | Err(_) => ChangeOutcome::Unknown,
    }
}

/// Outcome of a change as reported to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeOutcome {
    /// The change was accepted and has this version.
    Accepted(Offset),
    /// The resource no longer had the expected version.
    Refused,
    /// The change may or may not have been accepted.
    Unknown,
}

/// An operator who makes one change after another.
#[derive(Debug)]
pub(super) struct ChangingOperator {
    targets: Arc<Vec<NodeTarget>>,
    stop: CancellationToken,
    rng: ChaCha8Rng,
    log: ChangeLog,
}

impl ChangingOperator {
    pub(super) fn new(targets: Arc<Vec<NodeTarget>>, stop: CancellationToken, seed: u64) -> Self {
        Self {
            targets,
            stop,
            rng: ChaCha8Rng::seed_from_u64(seed),
            log: ChangeLog::default(),
        }
    }

    /// Makes changes until told to stop.
    pub(super) async fn run(mut self) -> ChangeLog {
        let mut share = 1;
        while !self.stop.is_cancelled() {
            share += 1;
            self.change_share(share).await;
            if share.is_multiple_of(CHANGES_PER_ROLLOUT) {
                self.change_serving(share).await;
            }
            tokio::time::sleep(CHANGE_PAUSE).await;
        }
        self.log
    }

    async fn change_share(&mut self, share: u32) {
        let sent_at = Instant::now();
        let outcome = self.change(&changed_service(), &share_spec(share), share).await;
        self.log.sent += 1;
        match outcome {
            ChangeOutcome::Accepted(version) => self.log.accepted.push(AcceptedChange {
                sent_at,
                version,
                share,
            }),
            ChangeOutcome::Refused => self.log.refused += 1,
            ChangeOutcome::Unknown => self.log.unknown += 1,
        }
    }

    async fn change_serving(&mut self, number: u32) {
        let serving = if (number / CHANGES_PER_ROLLOUT).is_multiple_of(2) {
            "v1"
        } else {
            "v2"
        };
        let key = ResourceKey {
            kind: ResourceKind::Model,
            name: CHANGED_MODEL.into(),
        };
        let spec = parse_spec(ResourceKind::Model, &model_spec(serving)).expect("the specification matches its kind");
        let outcome = self.change(&key, &spec, number).await;
        self.log.rollouts += u64::from(matches!(outcome, ChangeOutcome::Accepted(_)));
    }

    /// Sends a change and repeats it, under the same change id, through randomly chosen nodes while its outcome is
    /// unknown.
    async fn change(&mut self, key: &ResourceKey, spec: &ResourceSpec, number: u32) -> ChangeOutcome {
        let change = format_smolstr!("change-{key}-{number}");
        let mut expected = None;
        for _ in 0..CHANGE_ATTEMPTS {
            let target = &self.targets[self.rng.random_range(0..self.targets.len())];
            if expected.is_none() {
                expected = read_version(target, key).await.map(|(version, _)| version);
            }
            let Some(version) = expected else {
                continue;
            };
            let outcome = send_change(target, key, spec, version, &change).await;
            if outcome != ChangeOutcome::Unknown || self.stop.is_cancelled() {
                return outcome;
            }
        }
        ChangeOutcome::Unknown
    }
}

/// Polls a node for the changed service until told to stop, and returns each version with the time when the node first
/// reported it.
pub(super) async fn observe_node(target: NodeTarget, stop: CancellationToken) -> Vec<ObservedVersion> {
    let key = changed_service();
    let mut observed: Vec<ObservedVersion> = Vec::new();
    while !stop.is_cancelled() {
        if let Some((version, ResourceSpec::Service(spec))) = read_version(&target, &key).await {
            let is_new = observed
                .last()
                .is_none_or(|last| last.version != version || last.share != spec.share);
            if is_new {
                let observed_at = Instant::now();
                observed.push(ObservedVersion {
                    observed_at,
                    version,
                    share: spec.share,
                });
            }
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    observed
}
