//! One node's view of the VMs of the deployment.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    marks::LeavingMarks,
    message::{DomainDigest, LeavingMark, NodeHeartbeat},
    settings::MembershipSettings,
    suspicion::SuspicionPolicy,
};
use crate::{
    ids::{BackendId, DomainId, NodeId},
    ports::{VmEntry, VmRole, VmState},
};

/// Nodes of a failure domain, first in rank, that relay heartbeats and digests; the second covers a loss of the first.
const RELAYS_PER_DOMAIN: usize = 2;

/// Status of a VM in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// It is listed, and neither suspected nor leaving.
    Live,
    /// It is listed, and suspected because it is silent; only nodes are suspected.
    Suspected,
    /// Some node's list showed it as leaving; it takes no new work.
    Leaving,
}

/// How far new marks of leaving backend servers are to be propagated without waiting for the next interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PropagationScope {
    /// Not at all: there are none, or their sender has sent them to every node to which this node would send them.
    #[default]
    None,
    /// To [`MembershipView::neighbours`] by a heartbeat, because they came from another failure domain.
    OwnDomain,
    /// Also to [`MembershipView::digest_targets`] by a digest, because this node's own list showed them first.
    AllDomains,
}

/// Counters of a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Lists that showed a VM as live which an earlier one, or a peer, had shown as leaving.
    pub regressed_lists: u64,
    /// Empty lists, which were ignored.
    pub empty_lists: u64,
}

/// The platform's list as this node has it, merged with what its peers have seen.
#[derive(Debug)]
pub struct MembershipView {
    node: NodeId,
    domain: DomainId,
    settings: MembershipSettings,
    members: BTreeMap<SmolStr, Member>,
    marks: LeavingMarks,
    suspicion: Box<dyn SuspicionPolicy>,
    sequence: u64,
    propagation: PropagationScope,
    counters: MembershipCounters,
    revision: u64,
}

#[derive(Clone, Debug)]
struct Member {
    entry: VmEntry,
    missed_lists: u32,
}

impl MembershipView {
    /// Creates an empty view of one node.
    pub fn new(
        node: NodeId,
        domain: DomainId,
        settings: MembershipSettings,
        suspicion: Box<dyn SuspicionPolicy>,
    ) -> Self {
        Self {
            node,
            domain,
            settings,
            members: BTreeMap::new(),
            marks: LeavingMarks::default(),
            suspicion,
            sequence: 0,
            propagation: PropagationScope::None,
            counters: MembershipCounters::default(),
            revision: 0,
        }
    }

    /// Applies a list. It may be older than the one before, so a server once seen as leaving stays marked for a while.
    pub fn list_fetched(&mut self, entries: &[VmEntry], now: Instant) {
        if entries.is_empty() {
            self.counters.empty_lists += 1;
            return;
        }
        self.count_missed_lists();
        let mut is_regressed = false;
        for entry in entries {
            if entry.state == VmState::Leaving {
                if self.marks.insert(&entry.name, entry.address, Duration::ZERO, now) {
                    self.propagation = PropagationScope::AllDomains;
                    self.revision += 1;
                }
            } else {
                is_regressed |= self.marks.contains(&entry.name, entry.address);
            }
            let member = Member {
                entry: entry.clone(),
                missed_lists: 0,
            };
            let before = self.members.insert(entry.name.clone(), member);
            if before.is_none_or(|before| before.entry != *entry) {
                self.revision += 1;
            }
        }
        self.counters.regressed_lists += u64::from(is_regressed);
        self.remove_missing();
    }

    /// Applies a heartbeat of a node.
    pub fn heartbeat_received(&mut self, heartbeat: &NodeHeartbeat, now: Instant) {
        self.suspicion.heartbeat(&heartbeat.node, now);
        self.merge_marks(&heartbeat.leaving, PropagationScope::None, now);
    }

    /// Applies a digest of another failure domain.
    pub fn digest_received(&mut self, digest: &DomainDigest, now: Instant) {
        self.suspicion.heartbeat(&digest.speaker, now);
        self.merge_marks(&digest.leaving, PropagationScope::OwnDomain, now);
    }

    /// Drops marks that are too old.
    pub fn tick(&mut self, now: Instant) {
        if self.marks.expire(self.settings.leaving_retention, now) {
            self.revision += 1;
        }
    }

    /// Returns how far new marks are to be propagated at once, and resets this scope.
    pub fn take_propagation(&mut self) -> PropagationScope {
        std::mem::take(&mut self.propagation)
    }

    /// Returns the next heartbeat to the nodes of the own failure domain.
    pub fn next_heartbeat(&mut self, now: Instant) -> NodeHeartbeat {
        self.sequence += 1;
        NodeHeartbeat {
            node: self.node.clone(),
            sequence: self.sequence,
            leaving: self.marks.to_messages(now),
        }
    }

    /// Returns the digest for other failure domains.
    pub fn digest(&self, now: Instant) -> DomainDigest {
        let nodes = self.nodes_of(&self.domain);
        let unsuspected = nodes.filter(|entry| !self.is_suspected(&entry.name, now));
        DomainDigest {
            domain: self.domain.clone(),
            speaker: self.node.clone(),
            unsuspected: unsuspected.map(|entry| entry.name.clone()).collect(),
            leaving: self.marks.to_messages(now),
        }
    }

    /// Returns whether a backend server may be given new work, as far as membership goes.
    pub fn takes_new_work(&self, backend: &BackendId) -> bool {
        self.members
            .get(backend)
            .is_some_and(|member| member.entry.role == VmRole::Backend && !self.is_leaving(&member.entry))
    }

    /// Returns the status of a VM, or `None` when it is not listed.
    pub fn status(&self, name: &SmolStr, now: Instant) -> Option<MemberStatus> {
        let member = self.members.get(name)?;
        if self.is_leaving(&member.entry) {
            return Some(MemberStatus::Leaving);
        }
        if member.entry.role == VmRole::Entry && self.is_suspected(name, now) {
            return Some(MemberStatus::Suspected);
        }
        Some(MemberStatus::Live)
    }

    /// Returns the listed VMs in order of name.
    pub fn entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.members.values().map(|member| &member.entry)
    }

    /// Returns the nodes that get this node's heartbeat every interval.
    ///
    /// The first two in rank send to every node and every node sends to them, so that the heartbeats of a failure
    /// domain grow linearly with its nodes instead of quadratically.
    pub fn heartbeat_targets(&self, now: Instant) -> Vec<VmEntry> {
        let ranked = self.ranked_nodes(&self.domain, now);
        let relays = &ranked[..ranked.len().min(RELAYS_PER_DOMAIN)];
        if relays.iter().any(|entry| entry.name == self.node) {
            return self.neighbours();
        }
        relays.iter().map(|entry| (*entry).clone()).collect()
    }

    /// Returns the other nodes of the own failure domain, which get a heartbeat at once when there are new marks.
    pub fn neighbours(&self) -> Vec<VmEntry> {
        let nodes = self.nodes_of(&self.domain).filter(|entry| entry.name != self.node);
        nodes.cloned().collect()
    }

    /// Returns the nodes of the other failure domains that get digests: in each the speaker and the next in rank, so
    /// that digests arrive before a speaker that was cut off is suspected.
    pub fn digest_targets(&self, now: Instant) -> Vec<VmEntry> {
        let nodes = self.entries().filter(|entry| entry.role == VmRole::Entry);
        let domains: BTreeSet<&DomainId> = nodes.map(|entry| &entry.domain).collect();
        let others = domains.into_iter().filter(|domain| **domain != self.domain);
        let targets = others.flat_map(|domain| self.ranked_nodes(domain, now).into_iter().take(RELAYS_PER_DOMAIN));
        targets.cloned().collect()
    }

    /// Returns whether this node is the speaker of its failure domain, which sends digests every interval.
    pub fn is_speaker(&self, now: Instant) -> bool {
        self.speaker(&self.domain, now)
            .is_some_and(|speaker| speaker.name == self.node)
    }

    /// Returns the speaker of a failure domain: the first node by rendezvous hash among those not suspected, or among
    /// all when all are suspected.
    ///
    /// Two nodes may disagree on the speaker while their lists differ; digests are then sent twice or reach a node
    /// that passes them on by its heartbeats, which is harmless.
    pub fn speaker(&self, domain: &DomainId, now: Instant) -> Option<VmEntry> {
        self.ranked_nodes(domain, now).first().map(|entry| (*entry).clone())
    }

    /// Returns a number that grows whenever a VM appears, changes or disappears, or a mark is added or dropped.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the counters.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    fn nodes_of(&self, domain: &DomainId) -> impl Iterator<Item = &VmEntry> {
        self.entries()
            .filter(move |entry| entry.role == VmRole::Entry && entry.domain == *domain)
    }

    fn is_leaving(&self, entry: &VmEntry) -> bool {
        entry.state == VmState::Leaving || self.marks.contains(&entry.name, entry.address)
    }

    fn is_suspected(&self, node: &NodeId, now: Instant) -> bool {
        self.suspicion.suspected_from(node).is_some_and(|from| now >= from)
    }

    /// Returns the nodes of a failure domain, those not suspected first, by rendezvous hash.
    fn ranked_nodes(&self, domain: &DomainId, now: Instant) -> Vec<&VmEntry> {
        let mut nodes: Vec<&VmEntry> = self.nodes_of(domain).collect();
        let seed = xxh3_64_with_seed(domain.as_bytes(), 0);
        nodes.sort_by_cached_key(|entry| {
            let is_suspected = entry.name != self.node && self.is_suspected(&entry.name, now);
            (is_suspected, xxh3_64_with_seed(entry.name.as_bytes(), seed))
        });
        nodes
    }

    fn merge_marks(&mut self, marks: &[LeavingMark], scope: PropagationScope, now: Instant) {
        for mark in marks {
            let age = Duration::from_millis(mark.age_ms);
            let is_recent = age <= self.settings.leaving_retention;
            if is_recent && self.marks.insert(&mark.backend, mark.address, age, now) {
                self.propagation = self.propagation.max(scope);
                self.revision += 1;
            }
        }
    }

    fn count_missed_lists(&mut self) {
        for member in self.members.values_mut() {
            member.missed_lists += 1;
        }
    }

    fn remove_missing(&mut self) {
        let missing_lists = self.settings.missing_lists;
        let count = self.members.len();
        let suspicion = &mut self.suspicion;
        self.members.retain(|name, member| {
            let is_listed = member.missed_lists < missing_lists;
            if !is_listed {
                suspicion.forget(name);
            }
            is_listed
        });
        if self.members.len() != count {
            self.revision += 1;
        }
    }
}
