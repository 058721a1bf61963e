//! Exchange of what binds all nodes between those that reach no leader.
//!
//! A node tells some others what has become known since its last exchange, and each answers with what a summary shows to be
//! lacking. Neither grows with the number of nodes; see `docs/CAPACITY.md`, "Messages between nodes".

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use futures::future::join_all;
use mustardgate_core::{
    clock,
    relay::{ChangeNumber, CrashDigest, CrashSummary},
};
use rand::seq::IteratorRandom;

use super::KnowledgeExchange;
use crate::context::RelayContext;

/// Largest number of nodes with which a node exchanges at once.
const MAX_EXCHANGES: usize = 6;

/// Largest number of crashes and quarantines in one exchange.
const MAX_EXCHANGED_ENTRIES: usize = 48;
/// Largest number of other nodes that an answer names.
const MAX_NEIGHBOURS: usize = 4;

/// Encoded size of a crash or a quarantine in bytes, or a little more.
const CRASH_ENTRY_BYTES: usize = 120;

/// What this node has told others since it last reached a leader.
#[derive(Debug, Default)]
pub(super) struct NeighbourExchange {
    /// Last change of what is known of crashes that was told.
    told: ChangeNumber,
}

impl NeighbourExchange {
    /// Counts everything that is known now as told, because a leader knows it.
    pub(super) fn record_leader(&mut self, context: &RelayContext) {
        self.told = context.crashes.last_change();
    }

    /// Exchanges what this node knows with some nodes that it has heard of.
    pub(super) async fn run(&mut self, context: &RelayContext, own: SocketAddr) {
        let max_entries = crash_room(context.knowledge.room()).min(MAX_EXCHANGED_ENTRIES);
        let news = context.crashes.news_page(self.told, max_entries);
        let known = Some(context.crashes.summary());
        let knowledge = knowledge_of(context, Some(own), news.digest, known);
        let neighbours = choose_neighbours(context, own);
        context
            .knowledge
            .record_sent(crash_bytes(&knowledge.inputs) * neighbours.len());
        let calls = neighbours.into_iter().map(async |address| {
            let asked_at = clock::now();
            let answer = context.peers.exchange_knowledge(address, &knowledge).await?;
            context.directory.record_contact(address, answer.domain.clone());
            context.directory.remember(&answer.neighbours);
            let round_trip = clock::now().saturating_duration_since(asked_at);
            take_over(context, &answer, Some(round_trip));
            Some(())
        });
        let answers = join_all(calls).await;
        if answers.iter().flatten().next().is_some() {
            self.told = news.last;
        }
    }
}

/// Answers another node's exchange.
pub(super) fn answer_knowledge(context: &RelayContext, knowledge: &KnowledgeExchange) -> KnowledgeExchange {
    take_over(context, knowledge, None);
    let room = crash_room(context.knowledge.room());
    let inputs = match &knowledge.known {
        Some(known) => context.crashes.missing_page(known, room.min(MAX_EXCHANGED_ENTRIES)),
        None => context.crashes.newest_digest(room),
    };
    context.knowledge.record_sent(crash_bytes(&inputs));
    let asking = knowledge.address;
    let neighbours = asking.map(|asking| context.directory.sample(MAX_NEIGHBOURS, asking));
    KnowledgeExchange {
        neighbours: neighbours.unwrap_or_default(),
        ..knowledge_of(context, None, inputs, None)
    }
}

/// Returns how many crashes and quarantines fit into a message with room for some bytes.
pub(super) fn crash_room(bytes: usize) -> usize {
    bytes / CRASH_ENTRY_BYTES
}

/// Returns the size of a digest in bytes, or a little more.
pub(super) fn crash_bytes(digest: &CrashDigest) -> usize {
    (digest.crashes.len() + digest.sound.len() + digest.quarantined.len()) * CRASH_ENTRY_BYTES
}

fn knowledge_of(
    context: &RelayContext,
    address: Option<SocketAddr>,
    inputs: CrashDigest,
    known: Option<CrashSummary>,
) -> KnowledgeExchange {
    KnowledgeExchange {
        address,
        inputs,
        known,
        limits: context.limits.own_observations(),
        domain: Some(context.settings.node.domain.clone()),
        versions: context.streams.version_digest(context.leader.lease_time()),
        brittle: context.brittle.services(),
        loads: context.loads.knowledge(&context.fleet),
        neighbours: Vec::new(),
    }
}

/// Takes over what another node knows; `round_trip` is the time of the call if it is an answer to this node.
fn take_over(context: &RelayContext, knowledge: &KnowledgeExchange, round_trip: Option<Duration>) {
    context.crashes.merge(&knowledge.inputs);
    context.limits.merge(&knowledge.limits);
    let now = context.leader.lease_time();
    context.streams.merge_versions(now, &knowledge.versions);
    context.brittle.merge(&knowledge.brittle);
    context
        .loads
        .hear_neighbour(&context.fleet, &knowledge.loads, round_trip);
}

/// Chooses other nodes at random, of all that the last leader listed or that were heard of since. Seeds, through which nodes
/// hear of each other, are chosen like others: every node has the same few.
fn choose_neighbours(context: &RelayContext, own: SocketAddr) -> Vec<SocketAddr> {
    let directory = &context.directory;
    let listed = directory.members().into_iter().map(|member| member.address);
    let seeds = context.settings.listen.seeds.iter().copied();
    let known: BTreeSet<SocketAddr> = directory.neighbours().into_iter().chain(listed).chain(seeds).collect();
    let others = known.into_iter().filter(|address| *address != own);
    others.choose_multiple(&mut rand::rng(), MAX_EXCHANGES)
}
