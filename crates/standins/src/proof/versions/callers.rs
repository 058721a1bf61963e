//! Streams that break off: nodes that go on with them, callers who take them up, and what the rules ask of both.

use mustardgate_core::relay::{NoticeScope, OriginFinding, VersionTag, choose_keepers, rank_keepers};
use rand::seq::IteratorRandom;

use super::{
    node::SimulatedList,
    simulation::{RunningStream, STEP, STREAM_LIFE, VersionSimulation, digest, key},
};
use crate::proof::{GuaranteeViolation, GuardMode, cadence::CONTACT_TIME};

/// Nodes asked at a return.
const MAX_ASKED: usize = 8;
/// The rules: streams that may hold events of two versions, and returns from which on shares count.
const ALLOWED_MIXED: u64 = 2;
const RULED_RETURNS: usize = 12;

impl VersionSimulation {
    /// Goes on inside the answer at another runner.
    pub(super) fn resume(&mut self, mut stream: RunningStream) {
        let bound = match self.guard {
            GuardMode::Enforced => stream.versions.first().copied(),
            GuardMode::Removed => None,
        };
        let Some(runner) = self.choose_runner(stream.node, bound) else {
            return;
        };
        self.count("streams resumed");
        stream.runner = runner;
        self.streams.push(stream);
    }

    /// Returns what a node finds out of a stream that its caller takes up.
    fn look_up(&mut self, node: usize, attempt: u64) -> Option<VersionTag> {
        let (key, digest) = (key(attempt), digest(attempt));
        let mut finding = self.nodes[node].versions.find(key, &digest);
        if let OriginFinding::Exact(version) = finding {
            return Some(version);
        }
        self.refresh_list(node);
        let sole = self.nodes[node]
            .versions
            .certain_version(self.now, [&self.service], STREAM_LIFE, self.now);
        if sole.is_some() {
            self.count("returns at the only version");
            return sole;
        }
        let members = self.members(node);
        let domain = &self.nodes[node].member.domain;
        let mut asked = choose_keepers(key, &members, domain);
        let others = rank_keepers(key, &members, domain);
        asked.extend(
            others
                .into_iter()
                .filter(|member| !asked.contains(member))
                .collect::<Vec<_>>(),
        );
        for member in asked.into_iter().take(MAX_ASKED) {
            let other = self.number_of(member);
            if self.reaches(node, other) {
                finding = finding.or(self.nodes[other].versions.find(key, &digest));
            }
        }
        match finding {
            OriginFinding::Exact(version) => Some(version),
            _ => self.look_up_log(node, key, &digest),
        }
    }

    /// Has a node read the list before it goes on with a stream, and tell of the streams that are due by then.
    fn refresh_list(&mut self, node: usize) {
        let list = SimulatedList {
            runners: &self.runners,
            position: self.log.position(),
        };
        for origin in self.nodes[node].refresh_list(self.now, &list, &self.service) {
            self.tell(node, origin, NoticeScope::All);
        }
    }

    /// Has the caller of a broken stream come back at another node; `is_stranded` says that none ran before.
    pub(super) fn take_up(&mut self, mut stream: RunningStream, is_stranded: bool) {
        // The load balancer sends a caller to nodes of its domain while there are any.
        let domain = &self.nodes[stream.node].member.domain;
        let up: Vec<usize> = (0..self.nodes.len()).filter(|node| self.nodes[*node].is_up()).collect();
        let near = up
            .iter()
            .copied()
            .filter(|node| self.nodes[*node].member.domain == *domain);
        let Some(node) = near
            .choose(&mut self.rng)
            .or_else(|| up.into_iter().choose(&mut self.rng))
        else {
            self.stranded.push(stream);
            return;
        };
        if self.nodes[node].listed.is_empty() {
            // The node is not ready; callers that find no other one come back.
            self.stranded.extend(is_stranded.then_some(stream));
            return;
        }
        let begun_at = *stream.versions.first().expect("an event was passed on");
        let version = match self.guard {
            GuardMode::Enforced => self.look_up(node, stream.attempt),
            GuardMode::Removed => self.choose_runner(node, None).map(|runner| self.runners[&runner]),
        };
        let runner = version.and_then(|version| self.choose_runner(node, Some(version)));
        let is_in_touch = !self.nodes[node].is_cut && self.now >= self.nodes[node].in_touch_since + CONTACT_TIME;
        let serving = self.runners.values().filter(|version| **version == begun_at).count();
        if is_in_touch && serving >= 2 {
            self.returns.0 += 1;
            self.returns.1 += usize::from(runner.is_some());
        }
        if is_stranded && !self.nodes[node].is_cut && serving >= 2 {
            self.rejoined.0 += 1;
            self.rejoined.1 += usize::from(runner.is_some());
            self.count(if runner.is_some() {
                "rejoined that go on"
            } else {
                "rejoined refused"
            });
        }
        self.count(if runner.is_some() {
            "returns that go on"
        } else {
            "returns refused"
        });
        if let Some(runner) = runner {
            stream.node = node;
            stream.runner = runner;
            stream.next_event = self.now + STEP;
            self.streams.push(stream);
        }
    }

    /// Checks that hardly any stream holds events of two versions.
    pub(super) fn check_versions(&self) -> Result<(), GuaranteeViolation> {
        let mixed = self.counts.get("mixed streams").copied().unwrap_or_default();
        if mixed <= ALLOWED_MIXED {
            return Ok(());
        }
        Err(GuaranteeViolation {
            guarantee: "a stream goes on at the version that began it",
            detail: format!("{mixed} mixed streams, {} nodes", self.nodes.len()),
        })
    }

    /// Checks that callers who come back are served at least half as often as new streams begin, which all do here.
    pub(super) fn check_returns(&self) -> Result<(), GuaranteeViolation> {
        let (returns, going_on) = self.returns;
        if returns < RULED_RETURNS || going_on * 2 >= returns {
            return Ok(());
        }
        Err(GuaranteeViolation {
            guarantee: "streams that are taken up go on",
            detail: format!("{going_on} of {returns} go on, {} nodes", self.nodes.len()),
        })
    }
}
