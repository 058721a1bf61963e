//! A run of several nodes, racing operators and faults against one log, judged from the outside.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use mustardgate_core::{
    config::{ChangeOutcome, ChangeSubmission, FeedFrame, choose_feeders},
    ids::{ChangeId, NodeId},
    log::{BatchRecord, ChangeRecord, LogRecord, SnapshotRecord},
    resources::{ModelSpec, ResourceKey, ResourceKind, ResourceSpec, VersionSpec},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use super::{
    GuaranteeViolation, ProofCount, ProofFigures,
    config_judge::{OutcomeJudge, judge_agreement, judge_node},
    config_node::{ConfigGuard, ConfigNode, STEP_MS},
    config_world::LogWorld,
};

const NODES: usize = 5;
const RESOURCES: usize = 4;
const FAULTY_STEPS: u64 = 1_200;
const MAX_OUTAGE_STEPS: u64 = 60;
/// Time within which an accepted change is in force everywhere, in milliseconds.
const CONVERGENCE_MS: u64 = 12_000;

/// One run.
#[derive(Debug)]
pub(super) struct ConfigCluster {
    world: LogWorld,
    nodes: Vec<ConfigNode>,
    rng: ChaCha8Rng,
    start: Instant,
    removed: Option<ConfigGuard>,
    outage_until: u64,
    next_restart_of_all: u64,
    feeds: Vec<(u64, usize, FeedFrame)>,
    old_snapshots: Vec<SnapshotRecord>,
    submitted: Vec<ChangeRecord>,
    judge: OutcomeJudge,
    counts: BTreeMap<&'static str, u64>,
}

impl ConfigCluster {
    /// Creates a run; `stream` keeps the runs of different scenarios with one seed apart.
    pub(super) fn new(seed: u64, stream: u64, removed: Option<ConfigGuard>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        let start = Instant::now();
        let world = LogWorld::new(rng.random());
        let nodes = (0..NODES).map(|index| ConfigNode::new(index, rng.random(), removed, &world, start));
        Self {
            nodes: nodes.collect(),
            world,
            rng,
            start,
            removed,
            outage_until: 0,
            next_restart_of_all: 0,
            feeds: Vec::new(),
            old_snapshots: Vec::new(),
            submitted: Vec::new(),
            judge: OutcomeJudge::default(),
            counts: BTreeMap::new(),
        }
    }

    /// Runs with faults, then without, and judges all the time.
    pub(super) fn run(mut self) -> Result<ProofFigures, GuaranteeViolation> {
        for step in 0..FAULTY_STEPS {
            self.inject_faults(step);
            self.operate(step);
            self.advance(step)?;
        }
        self.calm_down()?;
        self.judge.judge_all(&self.world)?;
        let mut figures = ProofFigures::default();
        self.count("late duplicates", self.world.late_duplicates);
        self.count("trims", self.world.trims);
        self.count("snapshots", self.world.snapshots);
        for (name, value) in self.counts {
            figures.counts.push(ProofCount { name, value });
        }
        Ok(figures)
    }

    fn calm_down(&mut self) -> Result<(), GuaranteeViolation> {
        let mut step = FAULTY_STEPS;
        self.world.set_faults(false, true);
        while self.world.has_delayed() {
            self.advance_calm(step)?;
            step += 1;
        }
        let end = self.world.log.end();
        for _ in 0..CONVERGENCE_MS / STEP_MS {
            self.advance_calm(step)?;
            step += 1;
        }
        judge_agreement(&self.nodes, end)
    }

    fn advance_calm(&mut self, step: u64) -> Result<(), GuaranteeViolation> {
        for node in &mut self.nodes {
            node.paused_until = 0;
        }
        self.advance(step)
    }

    fn advance(&mut self, step: u64) -> Result<(), GuaranteeViolation> {
        let now = self.now(step);
        self.world.advance(step);
        self.deliver_feeds(step, now);
        for index in 0..NODES {
            if self.nodes[index].paused_until > step {
                continue;
            }
            let output = self.nodes[index].step(&mut self.world, step, now, &mut self.rng);
            for frame in output.frames {
                self.feed(index, &frame, step);
            }
            if output.wants_neighbours {
                self.hand_over(index);
            }
            for (change, outcome) in output.told {
                self.tell(change, outcome)?;
            }
            judge_node(&self.world, &mut self.nodes[index])?;
        }
        Ok(())
    }

    fn now(&self, step: u64) -> Instant {
        self.start + Duration::from_millis(step * STEP_MS)
    }

    fn inject_faults(&mut self, step: u64) {
        if step >= self.outage_until && self.rng.random_bool(0.006) {
            self.outage_until = step + self.rng.random_range(5..MAX_OUTAGE_STEPS);
            self.count("outages", 1);
        }
        self.world.set_faults(step < self.outage_until, false);
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..NODES);
            let longest = if self.rng.random_bool(0.3) { 700 } else { 60 };
            self.nodes[index].paused_until = step + self.rng.random_range(1..longest);
            self.count("pauses", 1);
        }
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..NODES);
            self.restart(index, step);
            self.count("restarts", 1);
        }
        if step < self.outage_until && step >= self.next_restart_of_all && self.rng.random_bool(0.02) {
            (0..NODES).for_each(|index| self.restart(index, step));
            self.next_restart_of_all = step + 400;
            self.count("restarts of all", 1);
        }
        if self.rng.random_bool(0.05) {
            self.hand_over_crossed();
        }
        if self.rng.random_bool(0.3) {
            // Records of the other streams; whether they arrive does not matter here.
            let _ = self
                .world
                .append(LogRecord::Batch(BatchRecord::default()), step, &mut self.rng);
        }
    }

    fn restart(&mut self, index: usize, step: u64) {
        let seed = self.rng.random();
        self.nodes[index] = ConfigNode::new(index, seed, self.removed, &self.world, self.now(step));
    }

    /// Gives a node the state of a neighbour, or one that was under way for long.
    fn hand_over_crossed(&mut self) {
        let source = self.rng.random_range(0..NODES);
        self.old_snapshots
            .extend(self.nodes[source].replica.to_snapshot(self.nodes[source].name.clone()));
        if self.old_snapshots.is_empty() {
            return;
        }
        let old = self.rng.random_range(0..self.old_snapshots.len());
        let target = self.rng.random_range(0..NODES);
        self.nodes[target].take_handover(&self.old_snapshots[old]);
        self.count("crossed snapshots", 1);
    }

    fn hand_over(&mut self, index: usize) {
        let loaded = (0..NODES).filter(|other| *other != index && self.nodes[*other].replica.is_loaded());
        let Some(source) = loaded.min_by_key(|_| self.rng.random::<u64>()) else {
            return;
        };
        let neighbour = &self.nodes[source];
        if let Some(snapshot) = neighbour.replica.to_snapshot(neighbour.name.clone()) {
            self.nodes[index].take_handover(&snapshot);
            self.count("hand-overs", 1);
        }
    }

    /// Sends a frame from a feeder to the other nodes: late, twice, or not at all.
    fn feed(&mut self, index: usize, frame: &FeedFrame, step: u64) {
        let names: Vec<NodeId> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let feeders = choose_feeders(&"domain-1".into(), &names);
        if !feeders.contains(&names[index]) {
            return;
        }
        for (other, node) in self.nodes.iter_mut().enumerate() {
            node.follower.set_feeder(feeders.contains(&node.name));
            if other == index || feeders.contains(&node.name) {
                continue;
            }
            while self.rng.random_bool(0.6) {
                self.feeds
                    .push((step + self.rng.random_range(0..4), other, frame.clone()));
            }
        }
    }

    fn deliver_feeds(&mut self, step: u64, now: Instant) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.feeds)
            .into_iter()
            .partition(|(time, _, _)| *time <= step);
        self.feeds = rest;
        for (_, index, frame) in due {
            self.nodes[index].take_feed(&frame, now);
            self.count("feed frames", 1);
        }
    }

    /// Lets an operator change what a node shows, or repeat an earlier change through another node.
    fn operate(&mut self, step: u64) {
        if !self.rng.random_bool(0.25) {
            return;
        }
        let index = self.rng.random_range(0..NODES);
        let patience = self.rng.random_range(10..80);
        let deadline = self.now(step + patience);
        if !self.submitted.is_empty() && self.rng.random_bool(0.25) {
            let recent = self.submitted.len().saturating_sub(6);
            let record = self.submitted[self.rng.random_range(recent..self.submitted.len())].clone();
            self.judge.note_repeat(&record.change);
            self.nodes[index].submit(ChangeSubmission::resume(record, deadline));
            self.count("repeated submissions", 1);
        } else if let Some(record) = self.next_change(index) {
            self.submitted.push(record.clone());
            self.nodes[index].submit(ChangeSubmission::new(record, deadline));
            self.count("changes", 1);
        }
    }

    fn next_change(&mut self, index: usize) -> Option<ChangeRecord> {
        if !self.nodes[index].replica.is_loaded() {
            return None;
        }
        let resource = ResourceKey {
            kind: ResourceKind::Model,
            name: format_smolstr!("model-{}", self.rng.random_range(0..RESOURCES)),
        };
        let expected = self.nodes[index].replica.view().version_of(&resource);
        let is_deletion = expected.is_some() && self.rng.random_bool(0.4);
        let spec = (!is_deletion).then(|| self.next_spec());
        Some(ChangeRecord {
            change: format_smolstr!("change-{}", self.submitted.len()),
            resource,
            expected,
            spec,
        })
    }

    fn next_spec(&mut self) -> ResourceSpec {
        ResourceSpec::Model(ModelSpec {
            versions: vec![VersionSpec {
                name: "v1".into(),
                memory_mib: self.rng.random_range(1..1_000_000),
            }],
            serving: "v1".into(),
            min_replicas: 1,
        })
    }

    fn tell(&mut self, change: ChangeId, outcome: ChangeOutcome) -> Result<(), GuaranteeViolation> {
        let name = match outcome {
            ChangeOutcome::Accepted { .. } => "told accepted",
            ChangeOutcome::Conflict { .. } => "told conflict",
            ChangeOutcome::Unknown { .. } => "told unknown",
            ChangeOutcome::NotApplied => "told not applied",
        };
        self.count(name, 1);
        self.judge.hear(&self.world, change, outcome)
    }

    fn count(&mut self, name: &'static str, value: u64) {
        *self.counts.entry(name).or_default() += value;
    }
}
