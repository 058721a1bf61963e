//! Identifiers used across the system, and the fencing number of leaders.

use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddrV4,
};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Name of an entry VM running one `mustardgate` process.
pub type NodeId = SmolStr;
/// Name of a failure domain.
pub type DomainId = SmolStr;
/// Name of a region, which holds one or more failure domains.
pub type RegionId = SmolStr;
/// Name of a backend server: a runner with a model engine, or a plain service instance.
pub type BackendId = SmolStr;
/// One process of a runner: the runner, and the start time of the process in Unix milliseconds.
pub type RunnerProcess = (BackendId, u64);
/// Name of a declared model.
pub type ModelId = SmolStr;
/// Name of a declared adapter.
pub type AdapterId = SmolStr;
/// Name of a version of a model or an adapter.
pub type VersionId = SmolStr;
/// Name of a declared service.
pub type ServiceId = SmolStr;
/// Name of a tenant, the client account that a caller belongs to.
pub type TenantId = SmolStr;
/// Value of a caller's `Idempotency-Key` header.
pub type IdempotencyKey = SmolStr;
/// Identifier of one caller request, unique across nodes.
pub type RequestId = SmolStr;
/// Identifier of one configuration change, chosen by its submitter.
pub type ChangeId = SmolStr;
/// Identifier of one order to an engine, unique across leaders.
pub type OrderId = SmolStr;
/// Position of a record in the platform's log.
pub type Offset = u64;
/// Memory of an accelerator in mebibytes.
pub type MemoryMib = u64;
/// Index of an accelerator within its backend server.
pub type AcceleratorIndex = u16;

/// Fencing number, which orders the leaders of a failure domain: an engine refuses orders with a smaller number.
///
/// Fields compare from first to last. `lease_offset` is the log offset of the leader's lease, so the next lease from
/// the log exceeds every succession that happened without the log. `succession` counts leaders that took over while the
/// log was unavailable. `address` is the peer address of the node, so that two numbers chosen at the same time differ.
/// See `docs/DESIGN.md`, "Leases and fencing".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingNumber {
    /// Log offset of the leader's lease record.
    pub lease_offset: Offset,
    /// Number of leaders since that lease that took over without the log.
    pub succession: u32,
    /// IPv4 address and port of the leader's peer listener; see [`Self::pack_address`].
    pub address: u64,
}

impl FencingNumber {
    /// Packs the address of a peer listener into the value of `address`: the IPv4 address above 16 bits for the port.
    pub fn pack_address(address: SocketAddrV4) -> u64 {
        (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port())
    }
}

impl FencingNumber {
    /// Returns the number with which the node at `address` succeeds the holder of `self` without the log.
    ///
    /// The lease offset is unchanged, so that the next lease from the log exceeds every such number.
    #[must_use]
    pub fn succeeded_by(self, address: u64) -> Self {
        Self {
            succession: self.succession.saturating_add(1),
            address,
            ..self
        }
    }
}

impl Display for FencingNumber {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{:x}", self.lease_offset, self.succession, self.address)
    }
}
