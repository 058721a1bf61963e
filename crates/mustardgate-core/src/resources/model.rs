//! Specifications of models, their versions, and adapters.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{MemoryMib, ModelId, VersionId},
    log::Artifact,
};

/// Specification of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Versions that may be resident; at least one.
    pub versions: Vec<VersionSpec>,
    /// Version that serves requests.
    pub serving: VersionId,
    /// Minimum number of replicas in each region, regardless of the demand.
    #[serde(default = "default_min_replicas")]
    pub min_replicas: u32,
}

fn default_min_replicas() -> u32 {
    1
}

impl ModelSpec {
    /// Returns the artifact with the weights of a version of the model `name`.
    pub fn artifact_of(&self, name: &ModelId, version: &VersionId) -> Artifact {
        Artifact {
            model: name.clone(),
            adapter: None,
            version: version.clone(),
        }
    }

    /// Returns the version that serves requests, or `None` when it is not among the versions.
    pub fn serving_version(&self) -> Option<&VersionSpec> {
        self.versions.iter().find(|version| version.name == self.serving)
    }
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Name of the version.
    pub name: VersionId,
    /// Memory that the version takes on one accelerator.
    pub memory_mib: MemoryMib,
}

/// Specification of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Model the adapter belongs to.
    pub model: ModelId,
    /// Version of the adapter's weights.
    pub version: VersionId,
    /// Memory that the adapter takes on one accelerator, in addition to its model.
    pub memory_mib: MemoryMib,
}
