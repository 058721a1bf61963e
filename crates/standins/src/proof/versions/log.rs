//! The log: origins of streams, records of versions, and every version that was ever listed.

use std::time::{Duration, Instant};

use mustardgate_core::relay::{
    NodeMember, OriginFinding, RequestDigest, StreamKey, StreamOrigin, VersionDigest, VersionTag, choose_recorders,
};
use rand::Rng;

use super::simulation::{DATAGRAM_LOSS, RunningStream, STREAM_LIFE, VersionSimulation};
use crate::proof::GuaranteeViolation;

/// Longest time from a stream's begin until its record is written.
const MAX_WRITE_TIME_MS: u64 = 150;
/// Longest pause before a write that failed is tried again.
const MAX_WRITE_PAUSE_MS: u64 = 800;
/// Time for which the log keeps records.
const RETENTION: Duration = Duration::from_secs(20);
/// Time between two records of versions.
const VERSION_RECORD_INTERVAL: Duration = Duration::from_secs(3);
/// Returns from which on shares count.
const RULED_RETURNS: usize = 12;

#[derive(Debug, Default)]
pub(super) struct SimulatedLog {
    /// Origins that a node has to write: when and which one.
    unwritten: Vec<(Instant, usize, StreamOrigin)>,
    origins: Vec<(Instant, StreamOrigin)>,
    /// Versions in the order in which they were listed.
    listed: Vec<VersionTag>,
    /// The newest record of versions, and how many changes of the list its writer had read.
    versions: Option<(VersionDigest, usize)>,
    next_version_record: Option<Instant>,
}

impl SimulatedLog {
    pub(super) fn record_listed(&mut self, version: VersionTag) {
        self.listed.push(version);
    }

    pub(super) fn position(&self) -> usize {
        self.listed.len()
    }

    /// Drops what a node that ended had to write.
    pub(super) fn forget_unwritten(&mut self, node: usize) {
        self.unwritten.retain(|(_, recorder, _)| *recorder != node);
    }
}

impl VersionSimulation {
    /// Hands an origin to the nodes that write it.
    pub(super) fn record(&mut self, from: usize, others: &[NodeMember], origin: StreamOrigin) {
        let recorders = choose_recorders(origin.key, &self.nodes[from].member, others);
        let recorders: Vec<usize> = recorders.into_iter().map(|member| self.number_of(member)).collect();
        for recorder in recorders {
            let is_lost = from != recorder && self.rng.random_bool(DATAGRAM_LOSS);
            if !is_lost && (from == recorder || self.reaches(from, recorder)) {
                let wait = Duration::from_millis(self.rng.random_range(1..MAX_WRITE_TIME_MS));
                self.log.unwritten.push((self.now + wait, recorder, origin));
            }
        }
    }

    /// Writes what is due, and forgets what is old. A recorder that is cut off keeps what it has to write.
    pub(super) fn step_log(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.log.unwritten.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, recorder, origin) in due {
            if self.nodes[recorder].is_cut {
                let pause = self.rng.random_range(1..MAX_WRITE_PAUSE_MS);
                let again_at = now + Duration::from_millis(pause);
                self.log.unwritten.push((again_at, recorder, origin));
            } else {
                self.log.origins.push((now, origin));
                self.count("records written");
            }
        }
        self.log
            .origins
            .retain(|(at, _)| now.saturating_duration_since(*at) < RETENTION);
        self.write_versions();
    }

    fn write_versions(&mut self) {
        let is_due = self.log.next_version_record.is_none_or(|at| at <= self.now);
        let Some(leader) = self.leader.filter(|_| is_due) else {
            return;
        };
        if !self.nodes[leader].is_up() || self.nodes[leader].is_cut || self.nodes[leader].listed.is_empty() {
            return;
        }
        self.log.next_version_record = Some(self.now + VERSION_RECORD_INTERVAL);
        self.join_history(leader);
        let node = &self.nodes[leader];
        let digest = node.versions.digest(self.now);
        if digest.covers.is_some() {
            self.log.versions = Some((digest, node.read_position));
        }
    }

    /// Has a node take over what the log says of versions before its start.
    fn join_history(&mut self, node: usize) {
        if std::mem::replace(&mut self.nodes[node].is_joined, true) {
            return;
        }
        if let Some((digest, position)) = &self.log.versions {
            let listed = self.log.listed[*position..].iter();
            let listed = listed.map(|version| (&self.service, *version));
            self.nodes[node].versions.merge_record(self.now, digest, listed);
        }
    }

    /// Returns the version of a stream that a node finds in the log.
    pub(super) fn look_up_log(&mut self, node: usize, key: StreamKey, request: &RequestDigest) -> Option<VersionTag> {
        if self.nodes[node].is_cut {
            return None;
        }
        let origins: Vec<StreamOrigin> = self.log.origins.iter().map(|(_, origin)| *origin).collect();
        let versions = &mut self.nodes[node].versions;
        versions.learn(self.now, &origins);
        if let OriginFinding::Exact(version) = versions.find(key, request) {
            return Some(version);
        }
        self.join_history(node);
        self.nodes[node]
            .versions
            .certain_version(self.now, [&self.service], STREAM_LIFE, self.now)
    }

    /// Has callers that found no node come back once one has started again.
    pub(super) fn return_stranded(&mut self) {
        if self.nodes.iter().all(|node| !node.is_up() || node.listed.is_empty()) {
            return;
        }
        let stranded: Vec<RunningStream> = std::mem::take(&mut self.stranded);
        for stream in stranded {
            self.take_up(stream, true);
        }
    }

    /// Checks that callers who come back after the end of all nodes are served at least half as often as new streams
    /// begin, which all do here.
    pub(super) fn check_rejoined(&self) -> Result<(), GuaranteeViolation> {
        let (returns, going_on) = self.rejoined;
        if returns < RULED_RETURNS || going_on * 2 >= returns {
            return Ok(());
        }
        Err(GuaranteeViolation {
            guarantee: "streams that are taken up after all nodes ended go on",
            detail: format!("{going_on} of {returns} go on, {} nodes", self.nodes.len()),
        })
    }
}
