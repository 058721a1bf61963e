//! A run of several nodes with concurrent operators and faults on one log, checked from the outside.

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
    config_checks::{OutcomeChecker, check_convergence, check_node},
    config_log::LogSimulation,
    config_node::{ConfigGuard, ConfigNode, STEP_MS},
};

const NODES: usize = 5;
const RESOURCES: usize = 4;
const FAULTY_STEPS: u64 = 1_200;
const MAX_OUTAGE_STEPS: u64 = 60;
/// Time within which an accepted change is in force on every node, in milliseconds.
const CONVERGENCE_MS: u64 = 12_000;

/// Simulation of several nodes and operators on one log.
#[derive(Debug)]
pub(super) struct ConfigCluster {
    simulation: LogSimulation,
    nodes: Vec<ConfigNode>,
    rng: ChaCha8Rng,
    start: Instant,
    removed_guard: Option<ConfigGuard>,
    outage_until: u64,
    next_restart_of_all: u64,
    feeds: Vec<(u64, usize, FeedFrame)>,
    earlier_snapshots: Vec<SnapshotRecord>,
    submitted: Vec<ChangeRecord>,
    checker: OutcomeChecker,
    counts: BTreeMap<&'static str, u64>,
}

impl ConfigCluster {
    /// Creates a run; `stream` selects a separate random sequence for each scenario with the same seed.
    pub(super) fn new(seed: u64, stream: u64, removed_guard: Option<ConfigGuard>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        let start = Instant::now();
        let simulation = LogSimulation::new(rng.random());
        let nodes = (0..NODES).map(|index| ConfigNode::new(index, rng.random(), removed_guard, &simulation, start));
        Self {
            nodes: nodes.collect(),
            simulation,
            rng,
            start,
            removed_guard,
            outage_until: 0,
            next_restart_of_all: 0,
            feeds: Vec::new(),
            earlier_snapshots: Vec::new(),
            submitted: Vec::new(),
            checker: OutcomeChecker::default(),
            counts: BTreeMap::new(),
        }
    }

    /// Runs with faults, then without, and checks after every step.
    pub(super) fn run(mut self) -> Result<ProofFigures, GuaranteeViolation> {
        for step in 0..FAULTY_STEPS {
            self.inject_faults(step);
            self.submit_change(step);
            self.advance(step)?;
        }
        self.check_recovery()?;
        self.checker.check_all(&self.simulation)?;
        let mut figures = ProofFigures::default();
        self.count("late duplicates", self.simulation.late_duplicates);
        self.count("trims", self.simulation.trims);
        self.count("snapshots", self.simulation.snapshots);
        for (name, value) in self.counts {
            figures.counts.push(ProofCount { name, value });
        }
        Ok(figures)
    }

    fn check_recovery(&mut self) -> Result<(), GuaranteeViolation> {
        let mut step = FAULTY_STEPS;
        self.simulation.set_faults(false, true);
        while self.simulation.has_delayed() {
            self.advance_without_faults(step)?;
            step += 1;
        }
        let end = self.simulation.log.end();
        for _ in 0..CONVERGENCE_MS / STEP_MS {
            self.advance_without_faults(step)?;
            step += 1;
        }
        check_convergence(&self.nodes, end)
    }

    fn advance_without_faults(&mut self, step: u64) -> Result<(), GuaranteeViolation> {
        for node in &mut self.nodes {
            node.paused_until = 0;
        }
        self.advance(step)
    }

    fn advance(&mut self, step: u64) -> Result<(), GuaranteeViolation> {
        let now = self.now(step);
        self.simulation.advance(step);
        self.deliver_feeds(step, now);
        for index in 0..NODES {
            if self.nodes[index].paused_until > step {
                continue;
            }
            let output = self.nodes[index].step(&mut self.simulation, step, now, &mut self.rng);
            for frame in output.frames {
                self.send_feed(index, &frame, step);
            }
            if output.wants_neighbour_snapshot {
                self.deliver_neighbour_snapshot(index);
            }
            for (change, outcome) in output.reported {
                self.report_outcome(change, outcome)?;
            }
            check_node(&self.simulation, &mut self.nodes[index])?;
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
        self.simulation.set_faults(step < self.outage_until, false);
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..NODES);
            let max_steps = if self.rng.random_bool(0.3) { 700 } else { 60 };
            self.nodes[index].paused_until = step + self.rng.random_range(1..max_steps);
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
            self.deliver_stale_snapshot();
        }
        if self.rng.random_bool(0.3) {
            // Records other than configuration changes; whether they arrive does not matter here.
            let _ = self
                .simulation
                .append(LogRecord::Batch(BatchRecord::default()), step, &mut self.rng);
        }
    }

    fn restart(&mut self, index: usize, step: u64) {
        let seed = self.rng.random();
        self.nodes[index] = ConfigNode::new(index, seed, self.removed_guard, &self.simulation, self.now(step));
    }

    /// Delivers the current state of a random node, or a snapshot taken earlier, to a random node.
    fn deliver_stale_snapshot(&mut self) {
        let source = self.rng.random_range(0..NODES);
        self.earlier_snapshots
            .extend(self.nodes[source].replica.to_snapshot(self.nodes[source].name.clone()));
        if self.earlier_snapshots.is_empty() {
            return;
        }
        let old = self.rng.random_range(0..self.earlier_snapshots.len());
        let target = self.rng.random_range(0..NODES);
        self.nodes[target].receive_snapshot(&self.earlier_snapshots[old]);
        self.count("crossed snapshots", 1);
    }

    fn deliver_neighbour_snapshot(&mut self, index: usize) {
        let loaded = (0..NODES).filter(|other| *other != index && self.nodes[*other].replica.is_loaded());
        let Some(source) = loaded.min_by_key(|_| self.rng.random::<u64>()) else {
            return;
        };
        let neighbour = &self.nodes[source];
        if let Some(snapshot) = neighbour.replica.to_snapshot(neighbour.name.clone()) {
            self.nodes[index].receive_snapshot(&snapshot);
            self.count("hand-overs", 1);
        }
    }

    /// Sends a frame from a feeder to the nodes that are not feeders: late, more than once, or not at all.
    fn send_feed(&mut self, index: usize, frame: &FeedFrame, step: u64) {
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
            self.nodes[index].receive_feed(&frame, now);
            self.count("feed frames", 1);
        }
    }

    /// Submits a change based on a node's view, or repeats an earlier change at a random node.
    fn submit_change(&mut self, step: u64) {
        if !self.rng.random_bool(0.25) {
            return;
        }
        let index = self.rng.random_range(0..NODES);
        let timeout_steps = self.rng.random_range(10..80);
        let deadline = self.now(step + timeout_steps);
        if !self.submitted.is_empty() && self.rng.random_bool(0.25) {
            let recent = self.submitted.len().saturating_sub(6);
            let record = self.submitted[self.rng.random_range(recent..self.submitted.len())].clone();
            self.checker.record_resubmission(&record.change);
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

    fn report_outcome(&mut self, change: ChangeId, outcome: ChangeOutcome) -> Result<(), GuaranteeViolation> {
        let name = match outcome {
            ChangeOutcome::Accepted { .. } => "told accepted",
            ChangeOutcome::Conflict { .. } => "told conflict",
            ChangeOutcome::Unknown { .. } => "told unknown",
            ChangeOutcome::NotApplied => "told not applied",
        };
        self.count(name, 1);
        self.checker.record(&self.simulation, change, outcome)
    }

    fn count(&mut self, name: &'static str, value: u64) {
        *self.counts.entry(name).or_default() += value;
    }
}
