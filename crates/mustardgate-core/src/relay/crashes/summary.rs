//! Summary of what a ledger knows, by which another node finds what the ledger lacks.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Instant,
};

use serde::{Deserialize, Serialize};

use super::CrashLedger;
use crate::relay::InputId;

/// Number of buckets into which inputs are sorted.
const BUCKET_COUNT: usize = 64;

/// Bytes of a bucket's digest.
const BUCKET_BYTES: usize = 4;

/// Digests of what a node knows of crashes, in buckets of inputs.
///
/// Two nodes that know the same have the same summary, whatever the order in which they learnt it, so a summary of a fixed
/// size takes the place of crashes that the other node knows already. Nodes of builds that hash differently find all
/// buckets different, and tell each other everything.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSummary {
    #[serde(with = "serde_bytes")]
    digests: Vec<u8>,
}

impl Default for CrashSummary {
    fn default() -> Self {
        Self {
            digests: vec![0; BUCKET_COUNT * BUCKET_BYTES],
        }
    }
}

impl CrashSummary {
    /// Adds an input with what is known of it.
    fn add(&mut self, input: InputId, content: impl Hash) {
        let digest = hash(&(input, content)) as u32;
        if let Some(bucket) = self.digests.as_chunks_mut().0.get_mut(bucket_of(input)) {
            *bucket = (u32::from_be_bytes(*bucket) ^ digest).to_be_bytes();
        }
    }

    /// Returns whether the other node may know something else of an input. Of a summary in another form nothing is known.
    pub(super) fn may_differ(&self, other: &Self, input: InputId) -> bool {
        let bucket = |summary: &Self| {
            let (buckets, _) = summary.digests.as_chunks::<BUCKET_BYTES>();
            (buckets.len() == BUCKET_COUNT).then(|| buckets[bucket_of(input)])
        };
        let (own, others) = (bucket(self), bucket(other));
        own.is_none() || own != others
    }
}

impl CrashLedger {
    /// Returns a summary of everything that this node knows.
    pub fn summary(&self, now: Instant) -> CrashSummary {
        self.summary_of(now, |_| true)
    }

    /// Returns a summary of what a leader tells all nodes.
    pub fn suspect_summary(&self, now: Instant) -> CrashSummary {
        self.summary_of(now, |input| {
            self.is_suspect(input) || self.quarantined.contains_key(&input)
        })
    }

    fn summary_of(&self, now: Instant, includes: impl Fn(InputId) -> bool) -> CrashSummary {
        let mut summary = CrashSummary::default();
        for (input, by_process) in self.crashes.iter().filter(|(input, _)| includes(**input)) {
            let is_quarantined = self.quarantined.contains_key(input);
            let counting = by_process.iter().filter(|(_, at)| self.is_counted_at(now, **at));
            let processes: Vec<_> = counting.map(|(process, _)| process).collect();
            let blamed = self.counted_crashes(*input, by_process).len();
            if is_quarantined || !processes.is_empty() {
                summary.add(*input, (processes, blamed, is_quarantined));
            }
        }
        let without_crashes = |input: &&InputId| !self.crashes.contains_key(*input);
        for input in self.quarantined.keys().filter(without_crashes) {
            summary.add(*input, true);
        }
        summary
    }
}

fn bucket_of(input: InputId) -> usize {
    (hash(&input) % BUCKET_COUNT as u64) as usize
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
