//! Simulation of one failure domain with its nodes, engines, log and network.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::{MemoryMib, OrderId},
    leader::{DomainConfig, LeaderAction, LeaderEvent, LeaderTenure, RunnerConfig},
    placement::{DomainView, PlannedMove},
    ports::{EngineReport, OrderError},
    resources::FencingSupport,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    faults::{FaultPlan, RetentionTracker, is_batch},
    network::{MessageQueue, NetworkMessage, ProcessRef},
    node::SimulatedNode,
};
use crate::{
    engine::{EngineSettings, EngineState},
    platform::MemoryLog,
};

const STEP_MS: u64 = 50;
const NODES: usize = 3;
const PLAN_INTERVAL_MS: u64 = 400;
const RETENTION_MS: u64 = 40_000;
const OUTAGE_SPACING_MS: u64 = 10_000;
const ORDER_TIMEOUT_MS: u64 = 3_000;

/// Settings of a simulation, chosen by the scenario.
#[derive(Clone, Debug)]
pub(in crate::proof) struct SimulationSettings {
    /// Whether each engine really refuses old fencing numbers.
    pub(in crate::proof) engines: Vec<FencingSupport>,
    /// Configuration of the domain that the leaders get.
    pub(in crate::proof) config: DomainConfig,
    /// Faults to inject until [`DomainSimulation::heal`] is called.
    pub(in crate::proof) faults: FaultPlan,
    /// Whether reports list an order as settled after a timeout.
    pub(in crate::proof) settles_by_timeout: bool,
}

/// State of the simulation at one time.
#[derive(Debug)]
pub(in crate::proof) struct DomainSimulation {
    settings: SimulationSettings,
    pub(in crate::proof) rng: ChaCha8Rng,
    epoch: Instant,
    pub(in crate::proof) now_ms: u64,
    log: MemoryLog,
    outage_until_ms: u64,
    retention: RetentionTracker,
    nodes: Vec<SimulatedNode>,
    pub(in crate::proof) engines: Vec<EngineState>,
    pub(in crate::proof) lost_runner: Option<usize>,
    queue: MessageQueue,
    first_sent_ms: BTreeMap<OrderId, u64>,
    is_healed: bool,
    pub(in crate::proof) counts: BTreeMap<&'static str, u64>,
}

impl DomainSimulation {
    pub(in crate::proof) fn new(seed: u64, settings: SimulationSettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let engine = |(fencing, runner): (&FencingSupport, &RunnerConfig)| {
            EngineState::new(EngineSettings {
                fencing: *fencing,
                accelerators: runner.accelerators.clone(),
                load_time: Duration::from_millis(600),
                unload_time: Duration::from_millis(300),
            })
        };
        let engines = settings
            .engines
            .iter()
            .zip(&settings.config.runners)
            .map(engine)
            .collect();
        let nodes = (0..NODES)
            .map(|node| SimulatedNode::start(node, rng.random()))
            .collect();
        let mut simulation = Self {
            settings,
            epoch: Instant::now(),
            now_ms: 0,
            log: MemoryLog::new(rng.random()),
            rng,
            outage_until_ms: 0,
            retention: RetentionTracker::default(),
            nodes,
            engines,
            lost_runner: None,
            queue: MessageQueue::default(),
            first_sent_ms: BTreeMap::new(),
            is_healed: false,
            counts: BTreeMap::new(),
        };
        for node in 0..NODES {
            simulation.configure(node);
        }
        simulation
    }

    /// Ends every fault and makes the network reliable; messages already in transit still arrive.
    pub(in crate::proof) fn heal(&mut self) {
        self.is_healed = true;
        self.outage_until_ms = 0;
        for node in &mut self.nodes {
            node.paused_until_ms = node.paused_until_ms.min(self.now_ms);
        }
    }

    /// Advances by one step; `plan` proposes moves from a leader's view.
    pub(in crate::proof) fn step(&mut self, plan: &mut dyn FnMut(&mut ChaCha8Rng, &DomainView) -> Vec<PlannedMove>) {
        self.now_ms += STEP_MS;
        self.inject_faults();
        let is_down = self.now_ms < self.outage_until_ms;
        self.log.set_faults(FaultPlan::log_faults(is_down));
        while let Some(message) = self.queue.next_due(self.now_ms) {
            self.deliver(message);
        }
        for engine in &mut self.engines {
            engine.advance(self.epoch + Duration::from_millis(self.now_ms));
        }
        for node in 0..NODES {
            self.step_node(node, plan);
        }
        self.count_leaders();
        self.retention.record_end(self.now_ms, self.log.end());
        self.log.trim(self.retention.earliest_offset(self.now_ms, RETENTION_MS));
    }

    /// Returns the view of the node that holds the lease, if there is one.
    pub(in crate::proof) fn leading_view(&self) -> Option<DomainView> {
        let leads = |node: &&SimulatedNode| matches!(node.leader.tenure(), LeaderTenure::Leased(_));
        let node = self.nodes.iter().find(leads)?;
        Some(node.leader.view(node.clock(self.epoch, self.now_ms)))
    }

    /// Counts an occurrence by name.
    pub(in crate::proof) fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Counts steps in which a node leads without the log, and steps with more than one leader.
    fn count_leaders(&mut self) {
        let tenures = self.nodes.iter().map(|node| node.leader.tenure());
        let leading: Vec<_> = tenures.filter(|tenure| *tenure != LeaderTenure::Follower).collect();
        if leading.contains(&LeaderTenure::Succeeded) {
            self.count("steps_without_log");
        }
        if leading.len() > 1 {
            self.count("steps_with_two_leaders");
        }
    }

    fn inject_faults(&mut self) {
        if self.is_healed {
            return;
        }
        let faults = self.settings.faults;
        // Outages are short and spaced so that the retention exceeds any time without an append; for what happens
        // otherwise, see `docs/design/leader.md`.
        let may_fail = self.now_ms > self.outage_until_ms + OUTAGE_SPACING_MS;
        if may_fail && self.rng.random_bool(faults.outage_ratio) {
            self.outage_until_ms = self.now_ms + FaultPlan::outage_ms(&mut self.rng);
            self.count("outages");
        }
        for node in 0..NODES {
            if self.rng.random_bool(faults.kill_ratio) {
                self.nodes[node] = SimulatedNode::start(node, self.rng.random());
                self.configure(node);
                self.count("kills");
            }
        }
        for engine in 0..self.engines.len() {
            if self.rng.random_bool(faults.restart_ratio) {
                self.engines[engine].restart(self.epoch + Duration::from_millis(self.now_ms));
                self.count("engine_restarts");
            }
        }
        let may_lose = faults.loses_runner && self.lost_runner.is_none() && self.now_ms > 15_000;
        if may_lose && self.rng.random_bool(0.005) {
            self.lost_runner = Some(self.rng.random_range(0..self.engines.len()));
            self.count("lost_runners");
        }
    }

    fn step_node(&mut self, node: usize, plan: &mut dyn FnMut(&mut ChaCha8Rng, &DomainView) -> Vec<PlannedMove>) {
        if self.now_ms < self.nodes[node].paused_until_ms {
            return;
        }
        let mut events = std::mem::take(&mut self.nodes[node].inbox);
        if self.now_ms.is_multiple_of(1_000) {
            // Any number of nodes may consider themselves the successor at the same time.
            events.push(LeaderEvent::SuccessorChanged(self.rng.random_bool(0.6)));
        }
        events.push(LeaderEvent::Tick);
        if self.now_ms.is_multiple_of(200) {
            events.extend(self.nodes[node].follow(&self.log));
        }
        if self.now_ms.is_multiple_of(PLAN_INTERVAL_MS) && self.nodes[node].leader.tenure() != LeaderTenure::Follower {
            let clock = self.nodes[node].clock(self.epoch, self.now_ms);
            let view = self.nodes[node].leader.view(clock);
            events.push(LeaderEvent::MovesPlanned(plan(&mut self.rng, &view)));
        }
        // A pause may fall between a decision and the messages that result from it.
        let is_pausing = !self.is_healed && self.rng.random_bool(self.settings.faults.pause_ratio);
        let pause_ms = if is_pausing {
            FaultPlan::pause_ms(&mut self.rng)
        } else {
            0
        };
        for event in events {
            let actions = self.nodes[node].handle(self.epoch, self.now_ms, event);
            self.execute_actions(node, actions, pause_ms);
        }
        if is_pausing {
            self.nodes[node].paused_until_ms = self.now_ms + pause_ms;
            if self.rng.random_bool(0.5) {
                self.nodes[node].clock_lag_ms += pause_ms;
            }
            self.count("pauses");
        }
    }

    fn configure(&mut self, node: usize) {
        let event = LeaderEvent::DomainChanged(self.settings.config.clone());
        self.nodes[node].inbox.push(event);
    }

    fn execute_actions(&mut self, node: usize, actions: Vec<LeaderAction>, pause_ms: u64) {
        let process = self.nodes[node].process;
        for action in actions {
            let message = match action {
                LeaderAction::Append { append, record } => {
                    self.count(if is_batch(&record) { "batches" } else { "leases" });
                    NetworkMessage::Append(process, append, record)
                }
                LeaderAction::RaiseFencing { backend, fencing } => {
                    self.count("raises");
                    NetworkMessage::Raise(process, self.engine_index(&backend), fencing)
                }
                LeaderAction::ReadReport { backend, read } => {
                    NetworkMessage::Read(process, self.engine_index(&backend), read)
                }
                LeaderAction::SendOrder { backend, order } => {
                    self.count("orders");
                    self.first_sent_ms.entry(order.order.clone()).or_insert(self.now_ms);
                    NetworkMessage::Order(process, self.engine_index(&backend), order)
                }
                LeaderAction::RefuseMove { .. } => {
                    self.count("refused_moves");
                    continue;
                }
                LeaderAction::ReportViolation { .. } => {
                    self.count("report_violations");
                    continue;
                }
            };
            self.send(&message, pause_ms);
        }
    }

    fn engine_index(&self, backend: &str) -> usize {
        let runners = &self.settings.config.runners;
        let index = runners.iter().position(|runner| runner.backend == backend);
        index.expect("orders go to declared runners")
    }

    fn send(&mut self, message: &NetworkMessage, extra_ms: u64) {
        let copy_delays = if self.is_healed {
            vec![1]
        } else {
            FaultPlan::copy_delays(&mut self.rng, message)
        };
        for delay_ms in copy_delays {
            self.queue.send(self.now_ms + extra_ms + delay_ms, message.clone());
        }
    }

    fn deliver(&mut self, message: NetworkMessage) {
        let now = self.epoch + Duration::from_millis(self.now_ms);
        match message {
            NetworkMessage::Raise(process, engine, fencing) if self.lost_runner != Some(engine) => {
                let outcome = self.engines[engine].raise_fencing(now, fencing);
                let outcome = outcome.map(|report| self.add_timed_out_orders(report));
                let backend = self.settings.config.runners[engine].backend.clone();
                self.respond(
                    process,
                    LeaderEvent::RaiseAnswered {
                        backend,
                        fencing,
                        outcome,
                    },
                );
            }
            NetworkMessage::Read(process, engine, read) if self.lost_runner != Some(engine) => {
                let report = self.engines[engine].report(now);
                let outcome = Ok(self.add_timed_out_orders(report));
                let backend = self.settings.config.runners[engine].backend.clone();
                self.respond(process, LeaderEvent::ReportAnswered { backend, read, outcome });
            }
            NetworkMessage::Order(process, engine, order) if self.lost_runner != Some(engine) => {
                let outcome = self.engines[engine].accept_order(now, &order);
                if matches!(outcome, Err(OrderError::Fenced { .. })) {
                    self.count("fenced_orders");
                }
                let backend = self.settings.config.runners[engine].backend.clone();
                let order = order.order;
                self.respond(
                    process,
                    LeaderEvent::OrderAnswered {
                        backend,
                        order,
                        outcome,
                    },
                );
            }
            NetworkMessage::Append(process, append, record) => {
                let outcome = self.log.append_now(*record);
                self.respond(process, LeaderEvent::AppendAnswered { append, outcome });
            }
            NetworkMessage::Event(process, event) => {
                let node = &mut self.nodes[process.node];
                if node.process == process {
                    node.inbox.push(*event);
                }
            }
            // The engine of a lost runner does not respond.
            NetworkMessage::Raise(..) | NetworkMessage::Read(..) | NetworkMessage::Order(..) => {}
        }
    }

    /// Lists orders as settled after a timeout, if the scenario removes its guard that way.
    fn add_timed_out_orders(&self, mut report: EngineReport) -> EngineReport {
        if self.settings.settles_by_timeout {
            let is_old = |sent_ms: &u64| sent_ms + ORDER_TIMEOUT_MS < self.now_ms;
            let old = self.first_sent_ms.iter().filter(|(_, sent_ms)| is_old(sent_ms));
            report.settled.extend(old.map(|(order, _)| order.clone()));
        }
        report
    }

    fn respond(&mut self, process: ProcessRef, event: LeaderEvent) {
        self.send(&NetworkMessage::Event(process, Box::new(event)), 0);
    }
}

/// Returns the declaration of a runner that is named by its index.
pub(in crate::proof) fn declared_runner(
    index: usize,
    fencing: FencingSupport,
    accelerators: Vec<MemoryMib>,
) -> RunnerConfig {
    RunnerConfig {
        backend: smol_str::format_smolstr!("r{index}"),
        fencing,
        accelerators,
        max_concurrency: 32,
        is_leaving: false,
    }
}
