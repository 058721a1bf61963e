//! The nodes of the system with their failure domains, as leaders and contacts tell them.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use mustardgate_core::relay::NodeMember;

/// Time for which a node is kept that the last list lacks. A new leader knows few nodes at first, and one that has ended
/// does little harm.
const FORMER_MEMORY: Duration = Duration::from_secs(10);

/// Nodes that a leader told of, and others with which there was contact of late.
#[derive(Debug, Default)]
pub struct MemberList {
    listed: BTreeSet<NodeMember>,
    /// Nodes that are not in the last list, and when they were last heard of.
    unlisted: BTreeMap<NodeMember, Instant>,
}

impl MemberList {
    /// Adds a node with which there was contact.
    pub fn add(&mut self, now: Instant, member: NodeMember) {
        if !self.listed.contains(&member) {
            self.unlisted.insert(member, now);
        }
    }

    /// Takes over a list of the leader.
    pub fn replace(&mut self, now: Instant, members: BTreeSet<NodeMember>) {
        let former = std::mem::replace(&mut self.listed, members);
        for member in former {
            self.unlisted.insert(member, now);
        }
        let listed = &self.listed;
        self.unlisted
            .retain(|member, at| !listed.contains(member) && now.saturating_duration_since(*at) < FORMER_MEMORY);
    }

    /// Returns the digest of the last list, by which a node tells whether it has the same one.
    pub fn digest(&self) -> u64 {
        digest(&self.listed)
    }

    /// Returns the nodes.
    pub fn members(&self, now: Instant) -> Vec<NodeMember> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < FORMER_MEMORY;
        let unlisted = self.unlisted.iter().filter(|(_, at)| is_recent(at));
        let unlisted = unlisted.map(|(member, _)| member);
        self.listed.iter().chain(unlisted).cloned().collect()
    }
}

/// Returns the digest of a list.
pub(super) fn digest(members: &BTreeSet<NodeMember>) -> u64 {
    let mut hasher = DefaultHasher::new();
    members.hash(&mut hasher);
    hasher.finish()
}
