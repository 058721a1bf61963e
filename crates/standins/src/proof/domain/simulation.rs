//! The simulated failure domain as a whole.

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
    faults::{FaultPlan, RetentionClock, is_batch},
    network::{Delivery, MessageQueue, ProcessRef},
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
const DRIVER_TIMEOUT_MS: u64 = 3_000;

/// What a scenario sets up.
#[derive(Clone, Debug)]
pub(in crate::proof) struct SimulationSettings {
    /// What each engine really does with old numbers.
    pub(in crate::proof) engines: Vec<FencingSupport>,
    /// What the leaders are told of the domain.
    pub(in crate::proof) config: DomainConfig,
    /// Faults to inject until the end.
    pub(in crate::proof) faults: FaultPlan,
    /// Whether the driver lists an order as settled after a timeout.
    pub(in crate::proof) settles_by_timeout: bool,
}

/// Nodes, engines, log and network at one time.
#[derive(Debug)]
pub(in crate::proof) struct DomainSimulation {
    settings: SimulationSettings,
    pub(in crate::proof) rng: ChaCha8Rng,
    epoch: Instant,
    pub(in crate::proof) now_ms: u64,
    log: MemoryLog,
    outage_until_ms: u64,
    retention: RetentionClock,
    nodes: Vec<SimulatedNode>,
    pub(in crate::proof) engines: Vec<EngineState>,
    pub(in crate::proof) lost_engine: Option<usize>,
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
            retention: RetentionClock::default(),
            nodes,
            engines,
            lost_engine: None,
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

    /// Ends every fault; the network becomes reliable, and what is late still arrives.
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
        while let Some(delivery) = self.queue.next_due(self.now_ms) {
            self.deliver(delivery);
        }
        for engine in &mut self.engines {
            engine.advance(self.epoch + Duration::from_millis(self.now_ms));
        }
        for node in 0..NODES {
            self.step_node(node, plan);
        }
        self.count_leaders();
        self.retention.mark(self.now_ms, self.log.end());
        self.log.trim(self.retention.earliest(self.now_ms, RETENTION_MS));
    }

    /// Returns the view of the node that leads by lease, if one does.
    pub(in crate::proof) fn leading_view(&self) -> Option<DomainView> {
        let leads = |node: &&SimulatedNode| matches!(node.leader.tenure(), LeaderTenure::Leased(_));
        let node = self.nodes.iter().find(leads)?;
        Some(node.leader.view(node.clock(self.epoch, self.now_ms)))
    }

    /// Counts an occurrence by name.
    pub(in crate::proof) fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Counts what the scenario is about: leaders without the log, and more than one leader at a time.
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
        // The retention is longer than any time without an append; see `docs/design/leader.md` for what follows if not.
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
        let may_lose = faults.loses_runner && self.lost_engine.is_none() && self.now_ms > 15_000;
        if may_lose && self.rng.random_bool(0.005) {
            self.lost_engine = Some(self.rng.random_range(0..self.engines.len()));
            self.count("lost_runners");
        }
    }

    fn step_node(&mut self, node: usize, plan: &mut dyn FnMut(&mut ChaCha8Rng, &DomainView) -> Vec<PlannedMove>) {
        if self.now_ms < self.nodes[node].paused_until_ms {
            return;
        }
        let mut events = std::mem::take(&mut self.nodes[node].inbox);
        if self.now_ms.is_multiple_of(1_000) {
            // Every node may believe itself the successor, also at once.
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
        // A pause may fall between a decision and the sending of what it decided.
        let is_pausing = !self.is_healed && self.rng.random_bool(self.settings.faults.pause_ratio);
        let pause_ms = if is_pausing {
            FaultPlan::pause_ms(&mut self.rng)
        } else {
            0
        };
        for event in events {
            let actions = self.nodes[node].handle(self.epoch, self.now_ms, event);
            self.carry_out(node, actions, pause_ms);
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

    fn carry_out(&mut self, node: usize, actions: Vec<LeaderAction>, pause_ms: u64) {
        let process = self.nodes[node].process;
        for action in actions {
            let delivery = match action {
                LeaderAction::Append { append, record } => {
                    self.count(if is_batch(&record) { "batches" } else { "leases" });
                    Delivery::Append(process, append, record)
                }
                LeaderAction::RaiseFencing { backend, fencing } => {
                    self.count("raises");
                    Delivery::Raise(process, self.engine_index(&backend), fencing)
                }
                LeaderAction::ReadReport { backend, read } => {
                    Delivery::Read(process, self.engine_index(&backend), read)
                }
                LeaderAction::SendOrder { backend, order } => {
                    self.count("orders");
                    self.first_sent_ms.entry(order.order.clone()).or_insert(self.now_ms);
                    Delivery::Order(process, self.engine_index(&backend), order)
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
            self.send(&delivery, pause_ms);
        }
    }

    fn engine_index(&self, backend: &str) -> usize {
        let runners = &self.settings.config.runners;
        let index = runners.iter().position(|runner| runner.backend == backend);
        index.expect("orders go to declared runners")
    }

    fn send(&mut self, delivery: &Delivery, extra_ms: u64) {
        let arrivals = if self.is_healed {
            vec![1]
        } else {
            FaultPlan::arrivals(&mut self.rng, delivery)
        };
        for delay_ms in arrivals {
            self.queue.send(self.now_ms + extra_ms + delay_ms, delivery.clone());
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.epoch + Duration::from_millis(self.now_ms);
        match delivery {
            Delivery::Raise(process, engine, fencing) if self.lost_engine != Some(engine) => {
                let outcome = self.engines[engine].raise_fencing(now, fencing);
                let outcome = outcome.map(|report| self.finish_report(report));
                let backend = self.settings.config.runners[engine].backend.clone();
                self.answer(
                    process,
                    LeaderEvent::RaiseAnswered {
                        backend,
                        fencing,
                        outcome,
                    },
                );
            }
            Delivery::Read(process, engine, read) if self.lost_engine != Some(engine) => {
                let report = self.engines[engine].report(now);
                let outcome = Ok(self.finish_report(report));
                let backend = self.settings.config.runners[engine].backend.clone();
                self.answer(process, LeaderEvent::ReportAnswered { backend, read, outcome });
            }
            Delivery::Order(process, engine, order) if self.lost_engine != Some(engine) => {
                let outcome = self.engines[engine].order(now, &order);
                if matches!(outcome, Err(OrderError::Fenced { .. })) {
                    self.count("fenced_orders");
                }
                let backend = self.settings.config.runners[engine].backend.clone();
                let order = order.order;
                self.answer(
                    process,
                    LeaderEvent::OrderAnswered {
                        backend,
                        order,
                        outcome,
                    },
                );
            }
            Delivery::Append(process, append, record) => {
                let outcome = self.log.append_now(*record);
                self.answer(process, LeaderEvent::AppendAnswered { append, outcome });
            }
            Delivery::Event(process, event) => {
                let node = &mut self.nodes[process.node];
                if node.process == process {
                    node.inbox.push(*event);
                }
            }
            // A lost engine answers nothing.
            Delivery::Raise(..) | Delivery::Read(..) | Delivery::Order(..) => {}
        }
    }

    /// Applies the driver's timeout, which a scenario switches on to remove the guard.
    fn finish_report(&self, mut report: EngineReport) -> EngineReport {
        if self.settings.settles_by_timeout {
            let is_old = |sent_ms: &u64| sent_ms + DRIVER_TIMEOUT_MS < self.now_ms;
            let old = self.first_sent_ms.iter().filter(|(_, sent_ms)| is_old(sent_ms));
            report.settled.extend(old.map(|(order, _)| order.clone()));
        }
        report
    }

    fn answer(&mut self, process: ProcessRef, event: LeaderEvent) {
        self.send(&Delivery::Event(process, Box::new(event)), 0);
    }
}

/// Returns a runner as declared, named by its index.
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
