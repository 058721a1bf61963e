//! Records that the system appends to the platform's log, its only durable state and only means of agreement.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{
        AcceleratorIndex, AdapterId, BackendId, ChangeId, DomainId, FencingNumber, IdempotencyKey, MemoryMib, ModelId,
        NodeId, Offset, OrderId, RequestId, TenantId, VersionId,
    },
    resources::{ResourceKey, ResourceSpec},
    verdict::RunVerdict,
};

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum LogRecord {
    /// A conditional change of one resource.
    Change(ChangeRecord),
    /// The whole configuration as of an offset.
    Snapshot(Box<SnapshotRecord>),
    /// A claim or renewal of the lease of a failure domain.
    Lease(LeaseRecord),
    /// Intents, settlements and key records of one failure domain, appended together.
    Batch(BatchRecord),
}

/// A conditional change of one resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Identifier for looking up the result when the response was lost.
    pub change: ChangeId,
    /// Resource that changes.
    pub resource: ResourceKey,
    /// Version the resource must have: the offset of its last accepted change, or `None` when it must not exist.
    pub expected: Option<Offset>,
    /// New specification, or `None` to delete the resource.
    pub spec: Option<ResourceSpec>,
}

/// The configuration as of one offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// Offset of the last record whose effect is included.
    pub as_of: Offset,
    /// Node that wrote the snapshot.
    pub author: NodeId,
    /// Every resource, ordered by key.
    pub resources: Vec<VersionedResource>,
    /// Changes still inside the window in which their result may be looked up, ordered by offset.
    pub recent_changes: Vec<RecentChange>,
}

/// A resource with the version it has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedResource {
    /// Identity of the resource.
    pub key: ResourceKey,
    /// Offset of the last accepted change.
    pub version: Offset,
    /// Number of accepted changes since the resource was created.
    pub generation: u64,
    /// Specification in force.
    pub spec: ResourceSpec,
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChange {
    /// Identifier of the change.
    pub change: ChangeId,
    /// Offset of the record that decided it.
    pub offset: Offset,
    /// Whether it took effect.
    pub accepted: bool,
}

/// A claim or renewal of the lease of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Failure domain that the lease is for.
    pub domain: DomainId,
    /// Node that wants to hold the lease.
    pub holder: NodeId,
    /// Offset of the lease record that this one follows; it takes effect only if that is the newest effective one.
    pub previous: Option<Offset>,
    /// Duration of the lease in milliseconds, counted by the holder from before the append.
    pub term_ms: u64,
    /// Whether the holder releases the lease.
    pub released: bool,
    /// Number drawn by the holder's process at its start, by which a restarted node tells an old claim from its own.
    #[serde(default)]
    pub session: u64,
    /// Offset of the claim that this record renews or releases; `None` for a claim.
    #[serde(default)]
    pub renews: Option<Offset>,
    /// For a claim without `previous`: it takes effect only if no effective lease record is at this offset or later.
    #[serde(default)]
    pub window: Offset,
}

/// Entries of one failure domain that are appended together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BatchRecord {
    /// Failure domain the entries belong to.
    pub domain: DomainId,
    /// Lease under which intents and settlements take effect; `None` when the batch has neither.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<BatchLease>,
    /// Orders about to be sent to engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub intents: Vec<OrderIntent>,
    /// Orders whose outcome an engine has reported.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub settled: Vec<OrderId>,
    /// Keyed requests about to be dispatched.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<KeyClaim>,
    /// Outcomes of keyed requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<KeyOutcome>,
}

/// Lease under which the intents and settlements of a batch take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchLease {
    /// Offset of the claim of the lease; the batch has no effect if another claim took effect before it in the log.
    pub claim: Offset,
    /// Number of the batch under that claim, from 1; a repeated append with the same number has no effect.
    pub sequence: u64,
    /// Whether the intents are all that are open, replacing those read before.
    pub is_checkpoint: bool,
}

/// An order that is about to be sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderIntent {
    /// Identifier of the order, also carried in the order itself.
    pub order: OrderId,
    /// Runner that receives the order.
    pub backend: BackendId,
    /// Accelerator concerned.
    pub accelerator: AcceleratorIndex,
    /// What is loaded or unloaded.
    pub action: OrderAction,
    /// Fencing number the order is sent under.
    pub fencing: FencingNumber,
}

/// Action that an order requests from an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Load weights onto the accelerator.
    Load {
        /// Weights to load.
        artifact: Artifact,
        /// Memory they take.
        memory_mib: MemoryMib,
    },
    /// Remove weights from the accelerator.
    Unload {
        /// Weights to remove.
        artifact: Artifact,
    },
}

/// Weights that occupy memory: a version of a model, or of an adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Artifact {
    /// Model the weights belong to.
    pub model: ModelId,
    /// Adapter, or `None` for the model itself.
    pub adapter: Option<AdapterId>,
    /// Version of the model, or of the adapter when there is one.
    pub version: VersionId,
}

/// A keyed request that a node is about to dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Tenant whose key it is; keys of different tenants are unrelated.
    pub tenant: TenantId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Digest of the request, so that a key used again for something else is refused.
    pub digest: u64,
    /// Node that dispatches the request.
    pub node: NodeId,
    /// Request that claims the key.
    pub request: RequestId,
}

/// The outcome of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOutcome {
    /// Tenant whose key it is.
    pub tenant: TenantId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Request that claimed the key.
    pub request: RequestId,
    /// Whether the request ran.
    pub verdict: RunVerdict,
    /// Whether a later request may claim the key; only set with [`RunVerdict::NotRun`].
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_released: bool,
    /// Status and body answered to the caller, when small enough to keep.
    pub answer: Option<StoredAnswer>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(value: &bool) -> bool {
    !value
}

/// An answer kept for callers who repeat a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The body as text.
    pub body: String,
}
