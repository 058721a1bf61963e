//! Specifications of tenants and the digests of their keys.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::ServiceId;

/// Specification of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// SHA-256 digests of the tenant's bearer keys, in lower-case hexadecimal.
    pub key_digests: Vec<SmolStr>,
    /// Services the tenant may call; empty for all.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Weight of the tenant relative to other tenants in the same priority class.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}
