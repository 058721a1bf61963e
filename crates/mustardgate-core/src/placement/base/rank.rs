//! Weighted rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{AcceleratorIndex, BackendId, MemoryMib},
    log::Artifact,
};

/// Returns the rank of an accelerator for an artifact; the artifact goes to the accelerator with the highest rank.
///
/// Over many artifacts each accelerator gets a share in proportion to `weight`, its memory. When a runner joins or
/// leaves, only the artifacts that rank highest on it move.
pub(super) fn rank(artifact: &Artifact, backend: &BackendId, accelerator: AcceleratorIndex, weight: MemoryMib) -> f64 {
    let model = xxh3_64_with_seed(artifact.model.as_bytes(), u64::from(accelerator));
    let adapter = xxh3_64_with_seed(artifact.adapter.as_deref().unwrap_or_default().as_bytes(), model);
    let hash = xxh3_64_with_seed(backend.as_bytes(), adapter);
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -(weight as f64) / unit.ln()
}
