//! Settings of the node's identity.

use mustardgate_core::ids::{DomainId, NodeId, RegionId};
use serde::Deserialize;

use super::RangeCheck;

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
}

impl IdentitySettings {
    pub(super) fn check(&self, check: &mut RangeCheck) {
        check.not_empty("node", "name", &self.name);
        check.not_empty("node", "domain", &self.domain);
        check.not_empty("node", "region", &self.region);
    }
}
