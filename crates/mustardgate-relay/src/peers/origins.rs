//! Notices to other nodes: at which version streams began, and which brittle runners turned requests away; and the
//! question where a stream began that a caller takes up.
//!
//! Notices are datagrams, because a first event must not wait for another node and a lost notice costs one caller its
//! stream at most. See `docs/design/stream-versions.md`.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use metrics::counter;
use mustardgate_core::{
    clock,
    ids::RunnerProcess,
    relay::{
        NoticeScope, OriginFinding, RequestDigest, StreamKey, StreamOrigin, choose_keepers, choose_recorders,
        rank_keepers,
    },
};
use tokio::{net::UdpSocket, sync::mpsc::UnboundedReceiver};

use super::messages::{OriginQuery, PeerNotice, decode, encode};
use crate::{
    context::{RelayContext, StreamNotice},
    gateway::REJECTION_PAUSE,
};

/// Largest datagram, which fits into one packet.
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest number of records in a datagram of that size.
const MAX_RECORDS: usize = 30;
/// Largest number of nodes that are asked where a stream began.
const MAX_ASKED: usize = 8;
/// Timeout for the answers, for which a caller waits.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Sends this node's notices, and takes over those of other nodes.
#[derive(Debug)]
pub struct NoticeTask {
    context: Arc<RelayContext>,
    socket: UdpSocket,
    pending: UnboundedReceiver<StreamNotice>,
}

impl NoticeTask {
    /// Creates the task of a node that receives notices at `socket`; returns `None` if another one was created.
    pub fn new(context: Arc<RelayContext>, socket: UdpSocket) -> Option<Self> {
        let pending = context.streams.take_pending()?;
        Some(Self {
            context,
            socket,
            pending,
        })
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                Some(notice) = self.pending.recv() => self.tell(notice),
                rejected = self.context.brittle.next_rejections() => self.tell_all(rejected),
                received = self.socket.recv_from(&mut buffer) => {
                    // An error concerns a datagram that was sent earlier and could not be delivered.
                    let Ok((length, _)) = received else { continue };
                    if let Some(notice) = decode::<PeerNotice>(&buffer[..length]) {
                        self.take_over(&notice);
                    }
                }
            }
        }
    }

    /// Tells the keepers of a stream, and of the other streams that wait, where they began.
    fn tell(&mut self, notice: StreamNotice) {
        let members = self.context.directory.members();
        let domain = &self.context.settings.node.domain;
        let own = self.context.directory.own();
        let mut batches: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
        let mut unrecorded: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
        let mut next = Some(notice);
        while let Some((origin, scope)) = next {
            let mut keepers = choose_keepers(origin.key, &members, domain);
            match scope {
                NoticeScope::OneKeeper => keepers.truncate(1),
                NoticeScope::All => {
                    for recorder in own.iter().flat_map(|own| choose_recorders(origin.key, own, &members)) {
                        unrecorded.entry(recorder.address).or_default().push(origin);
                    }
                }
            }
            for keeper in keepers {
                batches.entry(keeper.address).or_default().push(origin);
            }
            next = self.pending.try_recv().ok();
        }
        self.send_origins(batches, PeerNotice::Streams);
        if let Some(origins) = own.and_then(|own| unrecorded.remove(&own.address)) {
            self.context.streams.record_to_log(&origins);
        }
        self.send_origins(unrecorded, PeerNotice::Unrecorded);
    }

    /// Sends origins to the nodes with these addresses, in as many datagrams as they need.
    fn send_origins(
        &self,
        batches: BTreeMap<SocketAddr, Vec<StreamOrigin>>,
        notice_of: fn(Vec<StreamOrigin>) -> PeerNotice,
    ) {
        for (address, origins) in batches {
            for records in origins.chunks(MAX_RECORDS) {
                let outcome = self.send(address, &notice_of(records.to_vec()));
                counter!("mustardgate_stream_records_total", "outcome" => outcome).increment(records.len() as u64);
            }
        }
    }

    /// Tells all other nodes which brittle runners turned a request away: one more may make them fall over.
    fn tell_all(&self, rejected: Vec<RunnerProcess>) {
        let notice = PeerNotice::Rejections(rejected);
        for member in self.context.directory.members() {
            let outcome = self.send(member.address, &notice);
            counter!("mustardgate_rejections_told_total", "outcome" => outcome).increment(1);
        }
    }

    fn take_over(&self, notice: &PeerNotice) {
        match notice {
            PeerNotice::Streams(origins) => {
                let now = self.context.leader.lease_time();
                self.context.streams.learn(now, origins);
            }
            PeerNotice::Unrecorded(origins) => self.context.streams.record_to_log(origins),
            PeerNotice::Rejections(rejected) => {
                for (id, started_at_ms) in rejected {
                    let cell = self.context.fleet.get(id);
                    if let Some(cell) = cell.filter(|cell| cell.listed().started_at_ms == *started_at_ms) {
                        cell.hold(clock::now() + REJECTION_PAUSE);
                    }
                }
            }
        }
    }

    fn send(&self, address: SocketAddr, notice: &PeerNotice) -> &'static str {
        match self.socket.try_send_to(&encode(notice), address) {
            Ok(_) => "sent",
            // What does not fit into the socket's buffer now is lost, like a datagram that a link drops.
            Err(_) => "dropped",
        }
    }
}

/// What other nodes know of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OriginReport {
    /// The best finding.
    pub finding: OriginFinding,
    /// Whether a node that may know better did not answer.
    pub is_incomplete: bool,
}

/// Asks other nodes at which version a stream began; the first one that knows it for certain is believed.
pub async fn ask_origin(context: &RelayContext, key: StreamKey, request: RequestDigest) -> OriginReport {
    let members = context.directory.members();
    let ranked = rank_keepers(key, &members, &context.settings.node.domain);
    let keepers = choose_keepers(key, &members, &context.settings.node.domain);
    let others = ranked.into_iter().filter(|member| !keepers.contains(member));
    let query = OriginQuery { key, request };
    let mut answers: FuturesUnordered<_> = keepers
        .iter()
        .copied()
        .chain(others)
        .take(MAX_ASKED)
        .map(|member| context.peers.ask_origin(member.address, &query, QUERY_TIMEOUT))
        .collect();
    let mut report = OriginReport::default();
    while let Some(answer) = answers.next().await {
        match answer {
            Some(answer) => report.finding = report.finding.or(answer.finding),
            None => report.is_incomplete = true,
        }
        if matches!(report.finding, OriginFinding::Exact(_)) {
            break;
        }
    }
    report
}
