//! HTTP messages for an engine's caches and its role.

use mustardgate_core::{ids::RequestId, log::Artifact};
use serde::{Deserialize, Serialize};

/// Path for a [`RoleChange`] with `POST`.
pub const ROLE_PATH: &str = "/control/role";
/// Path for a [`KvExportRequest`] with `POST`; the answer is a [`KvExport`], or status 404 without such a cache.
pub const KV_EXPORT_PATH: &str = "/control/kv/export";
/// Path for a [`KvExport`] with `POST`; status 204, or 409 when the weights are not resident.
pub const KV_IMPORT_PATH: &str = "/control/kv/import";
/// Bytes of a prompt in one block of the prefix cache.
pub const CACHE_BLOCK_BYTES: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Answer to a read of prefix-cache events; events whose sequence numbers are missing between two others were lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// Events in order.
    pub events: Vec<CacheEvent>,
    /// Sequence number to pass as `after` in the next read.
    pub last: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event, from 1.
    pub sequence: u64,
    /// Hash of the block concerned, as in [`block_hashes`].
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub is_stored: bool,
}

/// What an engine is used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Processes prompts and generates tokens.
    #[default]
    Mixed,
    /// Only processes prompts, for other engines to generate from.
    Prefill,
    /// Only generates tokens.
    Decode,
}

/// Asks an engine to change its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleChange {
    /// New role.
    pub role: EngineRole,
}

/// A request for the key-value cache of a generation request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExportRequest {
    /// Request whose cache is wanted.
    pub request: RequestId,
}

/// The key-value cache of a request, in the form that another engine imports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Request that the cache belongs to.
    pub request: RequestId,
    /// Weights it was computed with.
    pub artifact: Artifact,
    /// Hashes of the prompt's blocks, as in [`block_hashes`].
    pub blocks: Vec<u64>,
}

/// Returns for every whole block of a prompt the FNV-1a hash of the weights and of the prompt up to the block's end.
pub fn block_hashes(artifact: &Artifact, prompt: &str) -> Vec<u64> {
    let adapter = artifact.adapter.as_deref().unwrap_or_default();
    let mut hash = FNV_OFFSET;
    for part in [artifact.model.as_str(), adapter, artifact.version.as_str()] {
        hash = extend_hash(hash, part.as_bytes());
        hash = extend_hash(hash, &[0xff]);
    }
    let blocks = prompt.as_bytes().chunks_exact(CACHE_BLOCK_BYTES);
    blocks
        .map(|block| {
            hash = extend_hash(hash, block);
            hash
        })
        .collect()
}

/// Extends an FNV-1a hash by some bytes.
fn extend_hash(hash: u64, bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
