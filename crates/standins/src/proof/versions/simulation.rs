//! Nodes, runners of changing versions, streams and the callers who take them up, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::{BackendId, ServiceId},
    relay::{
        BegunStream, NodeMember, NoticeScope, RequestContent, RequestDigest, SoftwareVersion, StreamKey, StreamOrigin,
        VersionDigest, VersionTag, choose_keepers,
    },
};
use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use super::{
    log::SimulatedLog,
    node::{SimulatedList, SimulatedNode},
};
use crate::proof::{
    GuardMode,
    cadence::{REPORT_INTERVAL_MS, message_time},
};

pub(super) const STEP: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_secs(60);
const MAX_NODES: usize = 40;
/// Longest time from the begin of a stream until its caller may take it up.
pub(super) const STREAM_LIFE: Duration = Duration::from_secs(10);
/// Longest time of a message.
const MAX_MESSAGE_TIME: Duration = Duration::from_millis(400);
/// Share of datagrams that are lost.
pub(super) const DATAGRAM_LOSS: f64 = 0.02;

#[derive(Debug)]
pub(super) struct RunningStream {
    pub(super) attempt: u64,
    pub(super) node: usize,
    pub(super) runner: BackendId,
    /// Versions of the events that were passed on.
    pub(super) versions: BTreeSet<VersionTag>,
    /// When the next event is passed on.
    pub(super) next_event: Instant,
    pub(super) ends_at: Instant,
}

#[derive(Debug)]
pub(super) struct VersionSimulation {
    pub(super) rng: ChaCha8Rng,
    pub(super) guard: GuardMode,
    start: Instant,
    pub(super) now: Instant,
    pub(super) service: ServiceId,
    pub(super) nodes: Vec<SimulatedNode>,
    pub(super) runners: BTreeMap<BackendId, VersionTag>,
    pub(super) streams: Vec<RunningStream>,
    /// Datagrams and digests of versions under way: when they arrive and where.
    datagrams: Vec<(Instant, usize, StreamOrigin)>,
    digests: Vec<(Instant, usize, VersionDigest)>,
    pub(super) leader: Option<usize>,
    next_attempt: u64,
    next_runner: u64,
    newest_version: u64,
    /// Returns at nodes in touch while two runners of the version serve: all, and those that go on.
    pub(super) returns: (usize, usize),
    pub(super) counts: BTreeMap<&'static str, u64>,
    pub(super) log: SimulatedLog,
    /// Streams whose callers find no node that runs.
    pub(super) stranded: Vec<RunningStream>,
    /// Returns after all nodes ended while two runners of the version serve: all, and those that go on.
    pub(super) rejoined: (usize, usize),
}

pub(super) fn digest(attempt: u64) -> RequestDigest {
    let target = format!("/{attempt}");
    let content = RequestContent {
        method: "POST",
        host: "kitchen.example",
        target: &target,
        account: b"",
        body: b"",
    };
    content.digest(None)
}

pub(super) fn key(attempt: u64) -> StreamKey {
    StreamKey::of(&format_smolstr!("attempt-{attempt}"))
}

impl VersionSimulation {
    pub(super) fn new(seed: u64, guard: GuardMode) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let nodes = (0..rng.random_range(3..=MAX_NODES)).map(|number| SimulatedNode::new(number, start));
        let mut simulation = Self {
            nodes: nodes.collect(),
            guard,
            start,
            now: start,
            service: "assist".into(),
            runners: BTreeMap::new(),
            streams: Vec::new(),
            datagrams: Vec::new(),
            digests: Vec::new(),
            leader: Some(0),
            next_attempt: 0,
            next_runner: 0,
            newest_version: 1,
            returns: (0, 0),
            counts: BTreeMap::new(),
            log: SimulatedLog::default(),
            stranded: Vec::new(),
            rejoined: (0, 0),
            rng,
        };
        for _ in 0..simulation.rng.random_range(2..10) {
            simulation.add_runner();
        }
        simulation
    }

    pub(super) fn run(&mut self) {
        while self.now < self.start + RUN_TIME {
            self.now += STEP;
            self.change_runners();
            self.fail_nodes();
            self.deliver();
            self.step_log();
            self.return_stranded();
            for node in 0..self.nodes.len() {
                self.step_node(node);
            }
            self.pass_events();
        }
    }

    pub(super) fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    fn add_runner(&mut self) {
        self.next_runner += 1;
        let id = format_smolstr!("engine-{}", self.next_runner);
        let version = SoftwareVersion::Stated(format_smolstr!("v{}", self.newest_version));
        let version = version.tag(&self.service);
        self.runners.insert(id, version);
        self.log.record_listed(version);
    }

    /// Rolls runners over to new versions, and ends some.
    fn change_runners(&mut self) {
        if self.rng.random_bool(0.001) {
            self.newest_version += 1;
            self.count("new versions");
        }
        if self.rng.random_bool(0.006) {
            self.add_runner();
        }
        if self.runners.len() > 2 && self.rng.random_bool(0.006) {
            let ended = self.runners.keys().choose(&mut self.rng).cloned();
            if let Some(ended) = ended {
                self.runners.remove(&ended);
                self.count("runners ended");
                let broken: Vec<RunningStream> = self.streams.extract_if(.., |stream| stream.runner == ended).collect();
                for stream in broken {
                    self.resume(stream);
                }
            }
        }
    }

    fn fail_nodes(&mut self) {
        if self.rng.random_bool(0.003) {
            self.leader = None;
        }
        if self.leader.is_none() && self.rng.random_bool(0.01) {
            self.leader = (0..self.nodes.len()).choose(&mut self.rng);
        }
        if self.rng.random_bool(0.002) {
            let share = self.rng.random_range(0.0..0.5);
            // Single nodes or a whole domain.
            let domain = self.rng.random_bool(0.5).then(|| self.nodes[0].member.domain.clone());
            for node in &mut self.nodes {
                let is_drawn = self.rng.random_bool(share);
                let is_cut = domain.as_ref().map_or(is_drawn, |domain| *domain == node.member.domain);
                if node.is_cut && !is_cut {
                    node.in_touch_since = self.now;
                }
                node.is_cut = is_cut;
            }
            self.count("cuts");
        }
        if self.rng.random_bool(0.004) {
            let killed = self.rng.random_range(1..=self.nodes.len().div_ceil(3));
            for node in (0..self.nodes.len()).choose_multiple(&mut self.rng, killed) {
                self.kill(node);
            }
        }
        if self.rng.random_bool(0.0004) {
            for node in 0..self.nodes.len() {
                self.kill(node);
            }
            self.count("ends of all nodes");
        }
        for node in &mut self.nodes {
            if node.down_until.is_some_and(|until| until <= self.now) {
                node.start(self.now);
            }
        }
    }

    fn kill(&mut self, node: usize) {
        if !self.nodes[node].is_up() {
            return;
        }
        let down_time = Duration::from_millis(self.rng.random_range(300..2_000));
        self.nodes[node].kill(self.now, down_time);
        self.log.forget_unwritten(node);
        self.count("nodes killed");
        if self.leader == Some(node) {
            self.leader = None;
        }
        let broken: Vec<RunningStream> = self.streams.extract_if(.., |stream| stream.node == node).collect();
        for stream in broken {
            if !stream.versions.is_empty() {
                self.take_up(stream, false);
            }
        }
    }

    /// Returns the nodes that are believed to run, as the last list of a leader says; the killed are not missed yet.
    pub(super) fn members(&self, asking: usize) -> Vec<NodeMember> {
        let others = self.nodes.iter().enumerate().filter(|(number, _)| *number != asking);
        others.map(|(_, node)| node.member.clone()).collect()
    }

    pub(super) fn number_of(&self, member: &NodeMember) -> usize {
        let is_same = |node: &SimulatedNode| node.member == *member;
        self.nodes.iter().position(is_same).expect("members are nodes")
    }

    pub(super) fn reaches(&self, from: usize, other: usize) -> bool {
        self.nodes[other].is_up() && self.nodes[from].is_cut == self.nodes[other].is_cut
    }

    fn step_node(&mut self, number: usize) {
        if !self.nodes[number].is_up() {
            return;
        }
        let is_first_start = self.now < self.start + Duration::from_secs(1);
        let node = &mut self.nodes[number];
        let list = SimulatedList {
            runners: &self.runners,
            position: self.log.position(),
        };
        let due = node.read_list(self.now, &list, &self.service, is_first_start, &mut self.rng);
        for origin in due {
            self.tell(number, origin, NoticeScope::All);
        }
        self.report(number);
        if self.rng.random_bool(0.03) {
            self.begin(number);
        }
    }

    fn report(&mut self, number: usize) {
        if self.now < self.nodes[number].next_report {
            return;
        }
        let interval = Duration::from_millis(self.rng.random_range(REPORT_INTERVAL_MS));
        self.nodes[number].next_report = self.now + interval;
        let other = match self.leader {
            Some(leader) => leader,
            None => self.rng.random_range(0..self.nodes.len()),
        };
        if other == number || !self.reaches(number, other) {
            return;
        }
        for (sender, receiver) in [(number, other), (other, number)] {
            let digest = self.nodes[sender].versions.digest(self.now);
            let arrives_at = self.now + message_time(&mut self.rng, MAX_MESSAGE_TIME);
            self.digests.push((arrives_at, receiver, digest));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let datagrams: Vec<_> = self.datagrams.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, receiver, origin) in datagrams {
            if self.nodes[receiver].is_up() {
                self.nodes[receiver].versions.learn(now, &[origin]);
            }
        }
        let digests: Vec<_> = self.digests.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, receiver, digest) in digests {
            if self.nodes[receiver].is_up() {
                self.nodes[receiver].versions.merge(now, &digest, MAX_MESSAGE_TIME);
            }
        }
    }

    pub(super) fn tell(&mut self, from: usize, origin: StreamOrigin, scope: NoticeScope) {
        let members = self.members(from);
        let mut keepers = choose_keepers(origin.key, &members, &self.nodes[from].member.domain);
        if scope == NoticeScope::OneKeeper {
            keepers.truncate(1);
        }
        let keepers: Vec<usize> = keepers.into_iter().map(|keeper| self.number_of(keeper)).collect();
        for keeper in keepers {
            if self.reaches(from, keeper) && !self.rng.random_bool(DATAGRAM_LOSS) {
                let arrives_at = self.now + message_time(&mut self.rng, STEP);
                self.datagrams.push((arrives_at, keeper, origin));
                self.count("records told");
            }
        }
        if scope == NoticeScope::All {
            self.record(from, &members, origin);
        }
    }

    /// Chooses a runner as a node does that lists runners which have ended already.
    pub(super) fn choose_runner(&mut self, node: usize, version: Option<VersionTag>) -> Option<BackendId> {
        let listed = &self.nodes[node].listed;
        let usable = listed
            .iter()
            .filter(|(id, own)| self.runners.contains_key(*id) && version.is_none_or(|version| version == **own));
        usable.map(|(id, _)| id.clone()).choose(&mut self.rng)
    }

    fn begin(&mut self, node: usize) {
        let Some(runner) = self.choose_runner(node, None) else {
            return;
        };
        self.next_attempt += 1;
        let length = Duration::from_millis(self.rng.random_range(200..4_000));
        let first_event = Duration::from_millis(self.rng.random_range(10..200));
        self.streams.push(RunningStream {
            attempt: self.next_attempt,
            node,
            runner,
            versions: BTreeSet::new(),
            next_event: self.now + first_event,
            ends_at: self.now + length,
        });
    }

    fn pass_events(&mut self) {
        for number in 0..self.streams.len() {
            let stream = &mut self.streams[number];
            if self.now < stream.next_event {
                continue;
            }
            stream.next_event = self.now + Duration::from_millis(100);
            let version = self.runners[&stream.runner];
            let is_first = stream.versions.is_empty();
            stream.versions.insert(version);
            let (node, attempt) = (stream.node, stream.attempt);
            if is_first {
                let origin = StreamOrigin::new(&format_smolstr!("attempt-{attempt}"), &digest(attempt), version);
                let begun = BegunStream {
                    origin,
                    service: self.service.clone(),
                    life: STREAM_LIFE,
                };
                let scope = self.nodes[node].versions.begin(self.now, begun);
                self.tell(node, origin, scope);
            }
        }
        let now = self.now;
        let ended: Vec<RunningStream> = self.streams.extract_if(.., |stream| stream.ends_at <= now).collect();
        for stream in ended {
            self.nodes[stream.node].versions.finish(key(stream.attempt));
            if stream.versions.len() > 1 {
                self.count("mixed streams");
            }
        }
    }
}
