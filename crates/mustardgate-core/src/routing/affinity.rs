//! Affinity of prompts to runners whose prefix cache is likely to hold the prompt's first blocks.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ids::BackendId, log::Artifact};

const BLOCK_BYTES: usize = 256;
const PREFIX_BLOCKS: usize = 4;
const MAX_HINTS: usize = 8_192;

/// Digest of a model, an adapter and the first blocks of a prompt.
pub type PrefixDigest = u64;

/// Digests the first whole blocks of a prompt, or returns `None` when the prompt is shorter than one block.
pub fn prefix_digest(artifact: &Artifact, prompt: &[u8]) -> Option<PrefixDigest> {
    let blocks = (prompt.len() / BLOCK_BYTES).min(PREFIX_BLOCKS);
    if blocks == 0 {
        return None;
    }
    let model_hash = xxh3_64_with_seed(artifact.model.as_bytes(), 0);
    let adapter = artifact.adapter.as_deref().unwrap_or_default();
    let weights_hash = xxh3_64_with_seed(adapter.as_bytes(), model_hash);
    Some(xxh3_64_with_seed(&prompt[..blocks * BLOCK_BYTES], weights_hash))
}

/// Returns the rank of a runner for a prefix (rendezvous hashing), the same on every node without any messages.
pub(super) fn affinity_rank(prefix: PrefixDigest, backend: &BackendId) -> u64 {
    xxh3_64_with_seed(backend.as_bytes(), prefix)
}

/// Runners whose cache events say that they hold a prefix; bounded in number, the oldest entries are dropped first.
#[derive(Debug, Default)]
pub(super) struct CacheHints {
    holders: BTreeMap<PrefixDigest, BackendId>,
    order: VecDeque<PrefixDigest>,
}

impl CacheHints {
    pub(super) fn holder(&self, prefix: PrefixDigest) -> Option<&BackendId> {
        self.holders.get(&prefix)
    }

    pub(super) fn record_stored(&mut self, prefix: PrefixDigest, backend: BackendId) {
        if self.holders.insert(prefix, backend).is_none() {
            self.order.push_back(prefix);
        }
        while self.order.len() > MAX_HINTS {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    pub(super) fn record_evicted(&mut self, prefix: PrefixDigest, backend: &BackendId) {
        if self.holders.get(&prefix) == Some(backend) {
            self.holders.remove(&prefix);
            self.order.retain(|kept| *kept != prefix);
        }
    }
}
