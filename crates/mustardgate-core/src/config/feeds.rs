//! Choice of the feeders: the nodes of a failure domain that read the log and forward its records to the others.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DomainId, NodeId};

/// Number of feeders in a failure domain; the second one covers the failure of the first.
pub const FEEDERS_PER_DOMAIN: usize = 2;
/// Time without a frame from a feeder after which a node reads the log itself, in milliseconds.
pub const FEED_TIMEOUT_MS: u64 = 4_000;

/// Chooses the feeders among the live nodes of a domain by rendezvous hash; nodes with the same list choose the same.
///
/// Nodes with different lists may choose differently; that causes extra reads or a missing feed, but no wrong state.
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
