//! HTTP messages of the operators' resource API.

mod status;

use mustardgate_core::{
    ids::{ChangeId, Offset},
    log::VersionedResource,
    resources::{ResourceKey, ResourceKind, ResourceSpec},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::{SmolStr, ToSmolStr};

pub use self::status::{BackendStatus, DomainStatus, NodeStatus, ResourceCondition, ResourceStatus};

/// Prefix of every path of the resource API; `{prefix}{kind}` lists and `{prefix}{kind}/{name}` is one resource.
pub const API_PREFIX: &str = "/apis/v1/";
/// Path of the [`NodeStatus`].
pub const STATUS_PATH: &str = "/apis/v1/status";
/// Header with the identifier of a deletion, which has no body to carry it; a `PUT` carries it in the body.
pub const CHANGE_HEADER: &str = "x-change-id";
/// Code of the error that says that the outcome of a change is not known.
pub const OUTCOME_UNKNOWN: &str = "outcome_unknown";

/// A resource as the API returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResourceView {
    /// The resource with its version.
    #[serde(flatten)]
    pub resource: VersionedResource,
    /// How far the specification is in force, as known to the node.
    #[serde(default)]
    pub status: ResourceStatus,
}

/// Answer to a list request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceList {
    /// Resources of the kind, ordered by name.
    pub items: Vec<ResourceView>,
    /// Offset up to which the node has read the log; a watch continues from here.
    pub offset: Offset,
}

/// Body of a `PUT`; the header `If-Match` names the expected version, `If-None-Match: *` expects no such resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Specification of the kind that the path names.
    pub spec: Value,
    /// Identifier of the change; the same change sent again takes effect once.
    pub change: ChangeId,
}

impl PutRequest {
    /// Returns the specification as the kind's own type.
    ///
    /// # Errors
    /// A [`FieldError`] when the specification does not have the kind's shape.
    pub fn typed_spec(&self, kind: ResourceKind) -> Result<ResourceSpec, FieldError> {
        parse_spec(kind, &self.spec)
    }
}

/// Parses a specification without its kind tag into the type of its kind.
///
/// # Errors
/// A [`FieldError`] when the specification does not have the kind's shape.
pub fn parse_spec(kind: ResourceKind, spec: &Value) -> Result<ResourceSpec, FieldError> {
    serde_json::from_value(json!({"kind": kind, "spec": spec})).map_err(|error| FieldError {
        field: "spec".into(),
        reason: error.to_smolstr(),
    })
}

/// Returns a specification without its kind tag, as `PUT` and declaration files have it.
pub fn untagged_spec(spec: &ResourceSpec) -> Value {
    serde_json::to_value(spec)
        .ok()
        .and_then(|mut tagged| tagged.get_mut("spec").map(Value::take))
        .unwrap_or_default()
}

/// Answer to an accepted change: the node has read its own record back from the log and found it effective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// New version of the resource, the offset of the change.
    pub version: Offset,
    /// Number of accepted changes since the resource was created.
    pub generation: u64,
}

/// Body of status 409: the resource does not have the expected version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictAnswer {
    /// Human-readable explanation.
    pub error: SmolStr,
    /// Version that the resource has, or `None` when there is none.
    pub current: Option<Offset>,
}

/// Body of status 422: the specification was refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidAnswer {
    /// Errors, one per invalid field.
    pub errors: Vec<FieldError>,
}

/// Error in one field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field, such as `spec.versions[0].memory_mib`.
    pub field: SmolStr,
    /// Human-readable explanation.
    pub reason: SmolStr,
}

/// Body of status 503 to a change: the log did not answer, so the change may have been accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownAnswer {
    /// The error.
    pub error: UnknownDetail,
}

/// Identifies the change whose outcome is not known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownDetail {
    /// Always [`OUTCOME_UNKNOWN`] when the record may be in the log.
    pub code: SmolStr,
    /// Identifier of the change; sending the change again with it is safe.
    pub change: ChangeId,
}

/// One line of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum WatchEvent {
    /// A resource was created or changed.
    Changed {
        /// Offset of the change.
        offset: Offset,
        /// The resource as it is now.
        resource: Box<ResourceView>,
    },
    /// A resource was deleted.
    Deleted {
        /// Offset of the change.
        offset: Offset,
        /// Key of the deleted resource.
        key: ResourceKey,
    },
    /// Nothing of this kind changed up to the offset; sent while no change comes, so that a watcher can resume from it.
    Bookmark {
        /// Offset up to which the node has read.
        offset: Offset,
    },
}
