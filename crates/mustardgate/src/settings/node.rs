//! Settings of the node's identity.

use mustardgate_core::{
    buffers::BufferLimits,
    ids::{DomainId, NodeId, RegionId},
};
use serde::Deserialize;

use super::RangeCheck;

/// Bytes in a megabyte.
const MEGABYTE: usize = 1024 * 1024;

/// Name and location of the node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdentitySettings {
    /// Name of the entry VM, unique in the deployment.
    pub name: NodeId,
    /// Failure domain that the VM belongs to.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Memory that the process may use, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

fn default_memory_mb() -> usize {
    512
}

impl IdentitySettings {
    /// Returns the limits on what callers can make the process hold.
    pub fn buffer_limits(&self) -> BufferLimits {
        BufferLimits::within(self.memory_mb * MEGABYTE)
    }

    pub(super) fn check(&self, check: &mut RangeCheck) {
        check.not_empty("node", "name", &self.name);
        check.not_empty("node", "domain", &self.domain);
        check.not_empty("node", "region", &self.region);
        check.within("node", "memory_mb", self.memory_mb, 64..=1 << 20);
    }
}
