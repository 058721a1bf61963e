//! Which nodes of a failure domain read the log and feed the others.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DomainId, NodeId};

/// Number of nodes of a failure domain that read the log; the second covers the death of the first.
pub const FEEDERS_PER_DOMAIN: usize = 2;
/// Time without a frame from a feeder after which a node reads the log itself, in milliseconds.
pub const FEED_SILENCE_MS: u64 = 4_000;

/// Chooses the feeders among the live nodes of a domain by rendezvous hash, alike on every node with the same list.
///
/// Nodes with different lists may choose differently; that costs reads or silence, never correctness.
pub fn choose_feeders(domain: &DomainId, live: &[NodeId]) -> Vec<NodeId> {
    let mut ranked: Vec<(u64, &NodeId)> = live.iter().map(|node| (score(domain, node), node)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    let feeders = ranked.into_iter().take(FEEDERS_PER_DOMAIN);
    feeders.map(|(_, node)| node.clone()).collect()
}

fn score(domain: &DomainId, node: &NodeId) -> u64 {
    xxh3_64(format!("{domain}/{node}").as_bytes())
}
