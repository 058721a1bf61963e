//! Simulation of one run: callers that repeat their requests, faults, and a record of what callers were told.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use mustardgate_core::{
    clock,
    idempotency::KeyId,
    ids::{Offset, RequestId},
    verdict::RunVerdict,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use super::{
    KeyDelivery, KeyPolicy, RETENTION, ReportedVerdict, STEP,
    node::{KeyedNode, NodeContext},
    service::FakeService,
};
use crate::{
    platform::{LogFaults, MemoryLog},
    proof::{ProofCount, ProofFigures},
};

/// Steps in which callers send and faults are injected.
const ACTIVE_STEPS: u64 = 700;
/// Further steps in which everything in transit arrives.
const DRAIN_STEPS: u64 = 150;
/// Steps after the first use of a key within which a caller repeats it; together with the deadline this is shorter than
/// the retention.
const MAX_REPEAT_DELAY_STEPS: u64 = 200;
const NODE_COUNT: usize = 4;

/// Simulation of one run.
#[derive(Debug)]
pub(in crate::proof) struct KeyedSimulation {
    rng: ChaCha8Rng,
    log: MemoryLog,
    nodes: Vec<KeyedNode>,
    service: FakeService,
    node_by_request: BTreeMap<RequestId, usize>,
    reported: Vec<ReportedVerdict>,
    repeats: Vec<(u64, KeyId)>,
    log_ends: VecDeque<Offset>,
    policy: KeyPolicy,
    start: Instant,
    step: u64,
    outage_until: u64,
    deliveries: u64,
    kills: u64,
    freezes: u64,
    outages: u64,
    gaps: u64,
    violations: u64,
    dispatches: u64,
}

impl KeyedSimulation {
    /// Runs one simulation to its end.
    pub fn run(seed: u64, policy: KeyPolicy) -> Self {
        let nodes = (0..NODE_COUNT).map(|index| KeyedNode::new(format_smolstr!("n{index}"), false));
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            log: MemoryLog::new(seed),
            nodes: nodes.collect(),
            service: FakeService::default(),
            node_by_request: BTreeMap::new(),
            reported: Vec::new(),
            repeats: Vec::new(),
            log_ends: VecDeque::new(),
            policy,
            start: clock::now(),
            step: 0,
            outage_until: 0,
            deliveries: 0,
            kills: 0,
            freezes: 0,
            outages: 0,
            gaps: 0,
            violations: 0,
            dispatches: 0,
        };
        while simulation.step < ACTIVE_STEPS + DRAIN_STEPS {
            simulation.advance();
        }
        simulation.add_counters_of_nodes();
        simulation
    }

    /// Returns the keys that the service ran more than once.
    pub fn repeated_runs(&self) -> Vec<(KeyId, u64)> {
        let runs = self.service.all_runs().iter().filter(|(_, runs)| **runs > 1);
        runs.map(|(id, runs)| (id.clone(), *runs)).collect()
    }

    /// Returns a key that was reported to a caller as not run although the service ran it.
    pub fn false_not_run(&self) -> Option<KeyId> {
        self.false_verdict(RunVerdict::NotRun, |runs| runs > 0)
    }

    /// Returns a key that was reported to a caller as run although the service did not run it.
    pub fn false_ran(&self) -> Option<KeyId> {
        self.false_verdict(RunVerdict::Ran, |runs| runs == 0)
    }

    /// Returns how many steps the nodes refused because they would have violated an invariant.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Returns the counts of the run.
    pub fn figures(&self) -> ProofFigures {
        let told_not_run = self
            .reported
            .iter()
            .filter(|reported| reported.verdict == RunVerdict::NotRun);
        let counts = [
            ("deliveries", self.deliveries),
            ("dispatches", self.dispatches),
            ("freezes", self.freezes),
            ("gaps", self.gaps),
            ("kills", self.kills),
            ("lost_answers", self.service.lost_answers),
            ("outages", self.outages),
            ("runs", self.service.all_runs().values().sum()),
            ("told", self.reported.len() as u64),
            ("told_not_run", told_not_run.count() as u64),
        ];
        let counts = counts.into_iter().map(|(name, value)| ProofCount { name, value });
        ProofFigures {
            counts: counts.collect(),
        }
    }

    fn false_verdict(&self, verdict: RunVerdict, is_false: impl Fn(u64) -> bool) -> Option<KeyId> {
        let mut matching = self.reported.iter().filter(|reported| reported.verdict == verdict);
        matching
            .find(|reported| is_false(self.service.runs(&reported.id)))
            .map(|reported| reported.id.clone())
    }

    fn advance(&mut self) {
        if self.step < ACTIVE_STEPS {
            self.inject_faults();
            self.send_requests();
        }
        self.set_log_faults();
        self.trim_log();
        for delivery in self.service.advance(self.step, &mut self.rng) {
            let Some(index) = self.node_by_request.get(&delivery.request).copied() else {
                continue;
            };
            self.with_node(index, |node, context| node.receive_answer(&delivery, context));
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].frozen_until <= self.step {
                self.with_node(index, KeyedNode::advance);
            }
        }
        self.step += 1;
    }

    fn with_node(&mut self, index: usize, work: impl FnOnce(&mut KeyedNode, &mut NodeContext<'_>)) {
        let mut context = NodeContext {
            log: &self.log,
            service: &mut self.service,
            reported: &mut self.reported,
            rng: &mut self.rng,
            policy: self.policy,
            step: self.step,
            now: self.start + STEP * self.step as u32,
        };
        work(&mut self.nodes[index], &mut context);
    }

    fn inject_faults(&mut self) {
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..NODE_COUNT);
            self.nodes[index].frozen_until = self.step + self.rng.random_range(1..450);
            self.freezes += 1;
        }
        if self.rng.random_bool(0.004) {
            self.kill_node();
        }
        if self.rng.random_bool(0.003) {
            self.outage_until = self.step + self.rng.random_range(5..150);
            self.outages += 1;
        }
    }

    fn kill_node(&mut self) {
        let index = self.rng.random_range(0..NODE_COUNT);
        let starts_at_tail = self.rng.random_bool(0.3);
        self.kills += 1;
        let name = format_smolstr!("{}-{}", self.nodes[index].name(), self.kills);
        self.add_counters_of_node(index);
        self.node_by_request.retain(|_, node| *node != index);
        self.nodes[index] = KeyedNode::new(name, starts_at_tail);
    }

    fn set_log_faults(&self) {
        let faults = LogFaults {
            is_down: self.step < self.outage_until,
            lost_answer_ratio: 0.15,
            refused_ratio: 0.1,
            ..LogFaults::default()
        };
        self.log.set_faults(faults);
    }

    fn trim_log(&mut self) {
        self.log_ends.push_back(self.log.end());
        let kept_steps = (RETENTION.as_millis() / STEP.as_millis()) as usize;
        if self.log_ends.len() > kept_steps
            && let Some(earliest) = self.log_ends.pop_front()
        {
            self.log.trim(earliest);
        }
    }

    fn send_requests(&mut self) {
        let step = self.step;
        if self.rng.random_bool(0.06) {
            let id = KeyId {
                tenant: "kitchen".into(),
                key: format_smolstr!("k{step}"),
            };
            self.schedule_repeats(&id);
            self.deliver(&id);
        }
        let (due, later) = self.repeats.drain(..).partition(|(at, _)| *at <= step);
        self.repeats = later;
        let due: Vec<(u64, KeyId)> = due;
        for (_, id) in due {
            self.deliver(&id);
        }
    }

    fn schedule_repeats(&mut self, id: &KeyId) {
        if self.rng.random_bool(0.5) {
            self.repeats.push((self.step, id.clone()));
        }
        for _ in 0..self.rng.random_range(0..4) {
            let at = self.step + self.rng.random_range(0..MAX_REPEAT_DELAY_STEPS);
            self.repeats.push((at, id.clone()));
        }
    }

    fn deliver(&mut self, id: &KeyId) {
        let index = self.rng.random_range(0..NODE_COUNT);
        if self.nodes[index].frozen_until > self.step {
            return;
        }
        self.deliveries += 1;
        let delivery = KeyDelivery {
            id: id.clone(),
            request: format_smolstr!("r{}", self.deliveries),
        };
        self.node_by_request.insert(delivery.request.clone(), index);
        self.with_node(index, |node, context| node.deliver(&delivery, context));
    }

    fn add_counters_of_nodes(&mut self) {
        for index in 0..self.nodes.len() {
            self.add_counters_of_node(index);
        }
    }

    fn add_counters_of_node(&mut self, index: usize) {
        let counters = self.nodes[index].counters();
        self.gaps += counters.gaps;
        self.violations += counters.violations;
        self.dispatches += counters.dispatches;
    }
}
