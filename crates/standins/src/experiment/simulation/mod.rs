//! Simulation of one run: one policy in one scenario, on virtual time.

mod faults;
mod requests;

use std::time::{Duration, Instant};

use derive_more::Display;
use mustardgate_core::retry::{AttemptPlan, PlanSettings};
use serde::{Deserialize, Serialize};

use super::{
    Arrival, Deployment, RunFigures, ScenarioKind,
    engine::{FakeBackend, FakeStore, WeightState},
    events::{EventQueue, SimEvent},
    figures::RunRecorder,
    node::FakeNode,
    placers::{ClusterView, GainPlacer, OnDemandPlacer, PlacementOrder, Placer, StaticPlacer},
    routers::{BaselineChoice, BaselineRouter, ProductRouter, RequestRouter},
    scenario::{RUN_LENGTH, Scenario},
};

const REPORT_INTERVAL_MS: u64 = 500;
const PLAN_INTERVAL_MS: u64 = 1_000;
const UNLOAD_MS: u64 = 1_000;

/// The policies compared.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Static placement and round robin.
    #[display("static")]
    Static,
    /// Load on demand, least-recently-used eviction and least reported load.
    #[display("on_demand")]
    OnDemand,
    /// The product's placement and routing.
    #[display("mustardgate")]
    Product,
    /// Every artifact on every runner at no cost, and one node that counts every request: no placement can do better.
    #[display("upper_bound")]
    UpperBound,
}

impl PolicyKind {
    /// Every policy.
    pub const ALL: [Self; 4] = [Self::Static, Self::OnDemand, Self::Product, Self::UpperBound];
}

/// State of one request during the run.
#[derive(Debug)]
struct SimJob {
    node: usize,
    plan: AttemptPlan,
    backend: Option<usize>,
    dispatched_at: Instant,
    first_token_at: Instant,
}

/// Load of all backend servers at the time at which they measured it for a report.
#[derive(Debug)]
struct ReportSnapshot {
    taken_at: Instant,
    /// For each backend server: its outstanding requests and its ready weights, or `None` when it is down.
    backends: Vec<Option<(u32, Vec<usize>)>>,
    /// For each node, its own outstanding requests at each backend server.
    own_outstanding: Vec<Vec<u32>>,
}

/// State of the deployment during one run.
struct ClusterSimulation<'a> {
    deployment: &'a Deployment,
    arrivals: &'a [Arrival],
    scenario: Scenario,
    policy: PolicyKind,
    seed: u64,
    start: Instant,
    now: Instant,
    events: EventQueue,
    backends: Vec<FakeBackend>,
    nodes: Vec<FakeNode>,
    store: FakeStore,
    placer: Box<dyn Placer>,
    jobs: Vec<SimJob>,
    snapshots: Vec<Option<ReportSnapshot>>,
    recorder: RunRecorder,
}

/// Runs one policy in one scenario with one seed; the same arguments give the same figures.
pub fn run_once(
    deployment: &Deployment,
    kind: ScenarioKind,
    seed: u64,
    policy: PolicyKind,
    arrivals: &[Arrival],
) -> RunFigures {
    let scenario = Scenario::draw(kind, deployment, seed);
    let mut simulation = ClusterSimulation::new(deployment, arrivals, scenario, policy, seed);
    simulation.run();
    let overload = simulation.scenario.overload();
    let mut figures = simulation.recorder.finish(deployment, overload);
    figures.most_model_loads = simulation.store.most_model_loads;
    figures.most_adapter_loads = simulation.store.most_adapter_loads;
    figures
}

fn new_router(deployment: &Deployment, policy: PolicyKind, domain: usize, seed: u64) -> Box<dyn RequestRouter> {
    match policy {
        PolicyKind::Product => Box::new(ProductRouter::new(deployment, domain, seed)),
        PolicyKind::Static => Box::new(BaselineRouter::new(deployment, BaselineChoice::RoundRobin, seed)),
        PolicyKind::OnDemand | PolicyKind::UpperBound => {
            Box::new(BaselineRouter::new(deployment, BaselineChoice::LeastLoad, seed))
        }
    }
}

fn new_node(deployment: &Deployment, policy: PolicyKind, node: usize, seed: u64) -> FakeNode {
    let domain = deployment.domain_of(node);
    let seed = seed.wrapping_mul(1_000).wrapping_add(node as u64);
    FakeNode::new(domain, new_router(deployment, policy, domain, seed), seed)
}

impl<'a> ClusterSimulation<'a> {
    fn new(
        deployment: &'a Deployment,
        arrivals: &'a [Arrival],
        scenario: Scenario,
        policy: PolicyKind,
        seed: u64,
    ) -> Self {
        let start = Instant::now();
        let placer: Box<dyn Placer> = match policy {
            PolicyKind::Static => Box::new(StaticPlacer::new(deployment.initial_holdings())),
            PolicyKind::OnDemand => Box::<OnDemandPlacer>::default(),
            PolicyKind::Product => Box::new(GainPlacer::new(deployment)),
            PolicyKind::UpperBound => Box::new(StaticPlacer::new(Vec::new())),
        };
        let count = if policy == PolicyKind::UpperBound {
            1
        } else {
            deployment.nodes
        };
        let nodes = (0..count).map(|node| new_node(deployment, policy, node, seed));
        let mut simulation = Self {
            deployment,
            arrivals,
            policy,
            seed,
            start,
            now: start,
            events: EventQueue::default(),
            backends: (0..deployment.backends())
                .map(|backend| FakeBackend::new(deployment.is_runner(backend)))
                .collect(),
            nodes: nodes.collect(),
            store: FakeStore::new(&deployment.policy, scenario.store_slowdown()),
            placer,
            jobs: Vec::with_capacity(arrivals.len()),
            snapshots: Vec::new(),
            recorder: RunRecorder::new(deployment),
            scenario,
        };
        simulation.place_initially();
        simulation.schedule_initially();
        simulation
    }

    fn place_initially(&mut self) {
        let holdings = self.deployment.initial_holdings();
        for backend in 0..self.backends.len() {
            self.fill_backend(backend, &holdings);
        }
        let snapshot = self.take_snapshot();
        self.apply_snapshot(&snapshot);
    }

    /// Puts the weights on a backend server that it starts with.
    fn fill_backend(&mut self, backend: usize, holdings: &[Vec<usize>]) {
        let catalogue = &self.deployment.catalogue;
        let service = catalogue.service_index();
        if !self.deployment.is_runner(backend) {
            self.backends[backend].reserve(service, 0, WeightState::Ready);
        } else if self.policy == PolicyKind::UpperBound {
            for entry in 0..service {
                self.backends[backend].reserve(entry, 0, WeightState::Ready);
            }
        } else {
            for entry in holdings.get(backend).into_iter().flatten() {
                let memory_mib = catalogue.entries[*entry].memory_mib;
                let is_placed = self.backends[backend].reserve(*entry, memory_mib, WeightState::Ready);
                assert!(is_placed, "the initial holdings fit the memory");
            }
        }
    }

    fn schedule_initially(&mut self) {
        self.events.schedule(self.start, SimEvent::Arrive(0));
        self.events.schedule(self.start, SimEvent::TakeReports);
        self.events.schedule(self.start, SimEvent::PlanPlacement);
        if let Some(outage) = self.scenario.outage() {
            let domain = self.scenario.lost_domain;
            self.events
                .schedule(self.start + outage.start, SimEvent::LoseDomain(domain));
            self.events
                .schedule(self.start + outage.end, SimEvent::RestoreDomain(domain));
        }
    }

    fn run(&mut self) {
        let end = self.start + RUN_LENGTH;
        while let Some((at, event)) = self.events.next() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(index) => self.arrive(index),
            SimEvent::Finish {
                backend,
                incarnation,
                job,
            } => self.finish(backend, incarnation, job),
            SimEvent::AttemptFailed {
                job,
                is_overload,
                verdict,
            } => self.fail_attempt(job, is_overload, verdict),
            SimEvent::Loaded {
                backend,
                incarnation,
                entry,
            } => self.end_load(backend, incarnation, entry),
            SimEvent::Unloaded {
                backend,
                incarnation,
                entry,
            } => self.end_unload(backend, incarnation, entry),
            SimEvent::TakeReports => self.take_reports(),
            SimEvent::DeliverReports(index) => self.deliver_reports(index),
            SimEvent::NodeTimer { node } => self.run_timer(node),
            SimEvent::PlanPlacement => self.plan_placement(),
            SimEvent::LoseDomain(domain) => self.lose_domain(domain),
            SimEvent::DetectLoss(domain) => self.set_domain_alive(domain, false),
            SimEvent::RestoreDomain(domain) => self.restore_domain(domain),
        }
    }

    fn plan_placement(&mut self) {
        let waiting = self.nodes.iter().map(|node| node.queue.len()).sum();
        self.recorder
            .sample_queues(self.now.duration_since(self.start), waiting);
        self.review_placement(true);
        let next = self.now + Duration::from_millis(PLAN_INTERVAL_MS);
        self.events.schedule(next, SimEvent::PlanPlacement);
    }

    fn review_placement(&mut self, is_periodic: bool) {
        let orders = self.with_placer(|placer, view| placer.review(view, is_periodic));
        self.execute_orders(orders);
    }

    /// Calls the placement policy with the current state of the cluster.
    fn with_placer<T>(&mut self, call: impl FnOnce(&mut dyn Placer, ClusterView<'_>) -> T) -> T {
        let view = ClusterView {
            now: self.now,
            deployment: self.deployment,
            backends: &self.backends,
            store: &self.store,
        };
        call(self.placer.as_mut(), view)
    }

    fn execute_orders(&mut self, orders: Vec<PlacementOrder>) {
        for order in orders {
            match order {
                PlacementOrder::Load { runner, entry } => self.begin_load(runner, entry),
                PlacementOrder::Unload { runner, entry } => self.begin_unload(runner, entry),
            }
        }
    }

    fn begin_load(&mut self, runner: usize, entry: usize) {
        let memory_mib = self.deployment.catalogue.entries[entry].memory_mib;
        if !self.backends[runner].reserve(entry, memory_mib, WeightState::Loading) {
            self.recorder.refused_orders += 1;
            return;
        }
        self.recorder.moves += 1;
        let duration = self.store.begin(self.now, &self.deployment.catalogue, entry);
        let event = SimEvent::Loaded {
            backend: runner,
            incarnation: self.backends[runner].incarnation,
            entry,
        };
        self.events.schedule(self.now + duration, event);
    }

    fn begin_unload(&mut self, runner: usize, entry: usize) {
        if !self.backends[runner].is_ready(entry) {
            self.recorder.refused_orders += 1;
            return;
        }
        self.recorder.moves += 1;
        self.backends[runner].weights.insert(entry, WeightState::Unloading);
        let event = SimEvent::Unloaded {
            backend: runner,
            incarnation: self.backends[runner].incarnation,
            entry,
        };
        self.events.schedule(self.now + Duration::from_millis(UNLOAD_MS), event);
    }

    fn end_load(&mut self, backend: usize, incarnation: u32, entry: usize) {
        self.store.end(self.deployment.catalogue.is_adapter(entry));
        if self.backends[backend].incarnation != incarnation {
            return;
        }
        self.backends[backend].weights.insert(entry, WeightState::Ready);
        self.review_placement(false);
    }

    fn end_unload(&mut self, backend: usize, incarnation: u32, entry: usize) {
        if self.backends[backend].incarnation != incarnation {
            return;
        }
        let memory_mib = self.deployment.catalogue.entries[entry].memory_mib;
        self.backends[backend].release(entry, memory_mib);
        self.review_placement(false);
    }
}
