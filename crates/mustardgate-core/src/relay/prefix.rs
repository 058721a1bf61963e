//! Prompt prefixes expected in a runner's cache because this node sent them there.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Instant,
};

use super::RelayRequest;

/// Largest number of prefixes that are kept for one runner.
const MAX_PREFIXES: usize = 1_024;

/// Index of the prompt prefixes that this node sent to a runner, by their hashes.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    /// When each prefix was last sent.
    sent_at: HashMap<u64, Instant>,
}

impl PrefixIndex {
    /// Records that a request's prompt is sent to the runner.
    pub fn record(&mut self, now: Instant, request: &RelayRequest) {
        for (hash, _) in prefix_hashes(request) {
            self.sent_at.insert(hash, now);
        }
        if self.sent_at.len() > MAX_PREFIXES {
            self.drop_older_half();
        }
    }

    /// Returns the share of the prompt's tokens that the runner would have to process, from 0 to 1.
    pub fn uncached_share(&self, request: &RelayRequest) -> f64 {
        let total: u64 = request.parts.iter().map(|part| part.tokens).sum();
        if total == 0 {
            return 1.0;
        }
        let cached: u64 = prefix_hashes(request)
            .take_while(|(hash, _)| self.sent_at.contains_key(hash))
            .map(|(_, tokens)| tokens)
            .sum();
        1.0 - cached as f64 / total as f64
    }

    /// Removes all prefixes, as the runner does when it evicts the model.
    pub fn clear(&mut self) {
        self.sent_at.clear();
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<Instant> = self.sent_at.values().copied().collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.sent_at.retain(|_, at| *at > middle);
    }
}

/// Returns for each part the hash of the prefix that ends with it, and the part's length in tokens.
///
/// The hash covers the model and all preceding parts, because a cached part can be reused only after the same ones.
fn prefix_hashes(request: &RelayRequest) -> impl Iterator<Item = (u64, u64)> {
    let mut hasher = DefaultHasher::new();
    request.model.hash(&mut hasher);
    request.parts.iter().map(move |part| {
        part.id.hash(&mut hasher);
        (hasher.finish(), part.tokens)
    })
}
