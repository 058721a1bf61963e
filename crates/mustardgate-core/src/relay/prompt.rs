//! Which parts of prompts a runner has read, as far as this node sent them there.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Instant,
};

use super::RelayRequest;

/// Chains of parts that are remembered for one runner.
const MAX_CHAINS: usize = 1_024;

/// Prompt parts that a runner has read, by the chain of all parts before them.
#[derive(Clone, Debug, Default)]
pub struct PromptMemory {
    read_at: HashMap<u64, Instant>,
}

impl PromptMemory {
    /// Notes that the runner reads a request's prompt.
    pub fn note(&mut self, now: Instant, request: &RelayRequest) {
        for (chain, _) in chains(request) {
            self.read_at.insert(chain, now);
        }
        if self.read_at.len() > MAX_CHAINS {
            self.forget_older_half();
        }
    }

    /// Returns the share of the prompt that the runner would have to read, from 0 to 1.
    pub fn unread_share(&self, request: &RelayRequest) -> f64 {
        let total: u64 = request.parts.iter().map(|part| part.tokens).sum();
        if total == 0 {
            return 1.0;
        }
        let read: u64 = chains(request)
            .take_while(|(chain, _)| self.read_at.contains_key(chain))
            .map(|(_, tokens)| tokens)
            .sum();
        1.0 - read as f64 / total as f64
    }

    /// Forgets everything, as the runner does when the model leaves it.
    pub fn clear(&mut self) {
        self.read_at.clear();
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<Instant> = self.read_at.values().copied().collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.read_at.retain(|_, at| *at > middle);
    }
}

/// Returns a hash of each part with all parts before it, since a part is kept only behind the same beginning.
fn chains(request: &RelayRequest) -> impl Iterator<Item = (u64, u64)> {
    let mut hasher = DefaultHasher::new();
    request.model.hash(&mut hasher);
    request.parts.iter().map(move |part| {
        part.id.hash(&mut hasher);
        (hasher.finish(), part.tokens)
    })
}
