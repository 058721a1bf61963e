//! Placement while demand shifts between models within seconds, against simulated runners that take time to load and
//! evict.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use mustardgate_core::{
    ids::ModelId,
    placement::share::LoadAccount,
    relay::{
        AdapterEvictor, AdapterSlot, EngineProfile, ModelName, ModelProfile, OrderKind, PlacementPlanner,
        PlannerSettings, RunnerHoldings,
    },
};

const RUNNERS: usize = 18;
const MODELS: usize = 20;
const STORE_LOAD_TIME: Duration = Duration::from_millis(6_400);
const CACHED_LOAD_TIME: Duration = Duration::from_millis(1_300);
const EVICTION_TIME: Duration = Duration::from_millis(700);
const STEP: Duration = Duration::from_millis(400);

fn model(index: usize) -> ModelId {
    format!("m{index:02}").into()
}

fn engine() -> EngineProfile {
    let profile = ModelProfile {
        weights_mb: 72_700.0,
        load_time: STORE_LOAD_TIME,
        cached_load_time: CACHED_LOAD_TIME,
        adapter_mb: 66.0,
        adapters: 0,
    };
    EngineProfile {
        slots: 64,
        kv_capacity_tokens: 160_000,
        weights_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_s: 2.4,
        models: (0..MODELS).map(|index| (model(index), profile.clone())).collect(),
    }
}

struct SimulatedRunner {
    holdings: RunnerHoldings,
    busy_until: Option<(Instant, OrderKind, ModelId)>,
}

/// Simulated runners that execute the orders of a planner, with counts of evictions and of loads from the weight store.
struct PlacementSimulation {
    now: Instant,
    planner: PlacementPlanner,
    runners: Vec<SimulatedRunner>,
    store_loads: Vec<Instant>,
    evictions: Vec<Instant>,
}

impl PlacementSimulation {
    /// Starts with the first model on all runners but one, and each other model on one runner.
    fn new() -> Self {
        let runners = (0..RUNNERS).map(|index| {
            let mut resident = BTreeSet::from([model(index + 1)]);
            resident.insert(model(0));
            if index == 0 {
                resident.insert(model(MODELS - 1));
                resident.remove(&model(0));
            }
            let holdings = RunnerHoldings {
                backend: format!("r{index:02}").into(),
                is_usable: true,
                cached: resident.clone(),
                resident,
                ..RunnerHoldings::default()
            };
            SimulatedRunner {
                holdings,
                busy_until: None,
            }
        });
        Self {
            now: Instant::now(),
            planner: PlacementPlanner::new(PlannerSettings::default()),
            runners: runners.collect(),
            store_loads: Vec::new(),
            evictions: Vec::new(),
        }
    }

    fn holders(&self, model: &ModelId) -> usize {
        let holds = |runner: &&SimulatedRunner| runner.holdings.resident.contains(model);
        self.runners.iter().filter(holds).count()
    }

    fn step(&mut self, rates: &BTreeMap<ModelId, f64>) {
        self.now += STEP;
        for runner in &mut self.runners {
            runner.finish(self.now);
        }
        let arrivals = rates
            .iter()
            .map(|(model, rate)| (model.clone(), rate * STEP.as_secs_f64()));
        self.planner.observe_demand(self.now, &arrivals.collect());
        let holdings: Vec<RunnerHoldings> = self.runners.iter().map(|runner| runner.holdings.clone()).collect();
        for order in self.planner.plan(self.now, &engine(), &holdings) {
            let found = self
                .runners
                .iter_mut()
                .find(|runner| runner.holdings.backend == order.backend);
            let runner = found.expect("orders go to known runners");
            let is_cached = runner.holdings.cached.contains(&order.name.model);
            if order.kind == OrderKind::Load && !is_cached {
                self.store_loads.push(self.now);
            }
            if order.kind == OrderKind::Evict {
                self.evictions.push(self.now);
            }
            runner.begin(self.now, order.kind, order.name.model);
        }
        self.check();
    }

    /// Asserts the invariants: memory, availability of every model, and the bound on loads from the weight store.
    fn check(&self) {
        for runner in &self.runners {
            let holdings = &runner.holdings;
            let held: BTreeSet<&ModelId> = holdings.resident.iter().chain(&holdings.arriving).collect();
            assert!(held.len() <= 2, "{holdings:?} does not fit");
        }
        for index in 0..MODELS {
            assert!(self.holders(&model(index)) >= 1, "{} has no replica", model(index));
        }
        let window = Duration::from_secs(5);
        let bound = (2.4 * 5.0 * 1.0) as usize;
        for first in &self.store_loads {
            let within = self
                .store_loads
                .iter()
                .filter(|at| **at >= *first && **at - *first < window);
            assert!(within.count() <= bound);
        }
    }
}

impl SimulatedRunner {
    fn begin(&mut self, now: Instant, kind: OrderKind, model: ModelId) {
        assert!(self.busy_until.is_none(), "a runner executes one order at a time");
        let duration = match kind {
            OrderKind::Evict => EVICTION_TIME,
            OrderKind::Load if self.holdings.cached.contains(&model) => CACHED_LOAD_TIME,
            OrderKind::Load => STORE_LOAD_TIME,
        };
        match kind {
            OrderKind::Load => self.holdings.arriving.insert(model.clone()),
            OrderKind::Evict => self.holdings.leaving.insert(model.clone()),
        };
        self.holdings.is_busy = true;
        self.busy_until = Some((now + duration, kind, model));
    }

    fn finish(&mut self, now: Instant) {
        let Some((_, kind, model)) = self.busy_until.take_if(|(until, _, _)| *until <= now) else {
            return;
        };
        self.holdings.is_busy = false;
        match kind {
            OrderKind::Load => {
                self.holdings.arriving.remove(&model);
                self.holdings.cached.insert(model.clone());
                self.holdings.resident.insert(model);
            }
            OrderKind::Evict => {
                self.holdings.leaving.remove(&model);
                self.holdings.resident.remove(&model);
            }
        }
    }
}

/// Shifts demand from one model to another over five seconds, then keeps it for `hold`.
fn shift_demand(simulation: &mut PlacementSimulation, from: &ModelId, to: &ModelId, hold: Duration) {
    let steps = 12_u32;
    for step in 0..=steps + (hold.as_millis() / STEP.as_millis()) as u32 {
        let shifted = f64::from(step.min(steps)) / f64::from(steps);
        let mut rates: BTreeMap<ModelId, f64> = (0..MODELS).map(|index| (model(index), 0.5)).collect();
        rates.insert(from.clone(), 90.0 * (1.0 - shifted));
        rates.insert(to.clone(), 90.0 * shifted);
        simulation.step(&rates);
    }
}

#[test]
fn replicas_follow_demand_that_moves_within_seconds() {
    let mut simulation = PlacementSimulation::new();
    shift_demand(&mut simulation, &model(1), &model(0), Duration::from_secs(4));
    shift_demand(&mut simulation, &model(0), &model(1), Duration::from_secs(9));
    let holders = simulation.holders(&model(1));
    assert!(holders >= 8, "{holders} holders of the model in demand");
}

#[test]
fn returning_demand_is_served_by_loads_from_runner_caches() {
    let mut simulation = PlacementSimulation::new();
    shift_demand(&mut simulation, &model(1), &model(0), Duration::from_secs(4));
    shift_demand(&mut simulation, &model(0), &model(1), Duration::from_secs(12));
    let loads = simulation.store_loads.len();
    shift_demand(&mut simulation, &model(1), &model(0), Duration::from_secs(2));
    let holders = simulation.holders(&model(0));
    assert!(holders >= 8, "{holders} holders of the model in demand");
    assert!(
        simulation.store_loads.len() <= loads + 2,
        "{} more loads",
        simulation.store_loads.len() - loads
    );
}

/// Returns a given rate for the first model, low rates for others and none for the last three models.
fn one_busy_model(rate: f64) -> BTreeMap<ModelId, f64> {
    let mut rates: BTreeMap<ModelId, f64> = (0..MODELS - 3).map(|index| (model(index), 0.5)).collect();
    rates.insert(model(0), rate);
    rates
}

#[test]
fn models_without_requests_get_replicas_from_spare_memory() {
    let mut simulation = PlacementSimulation::new();
    for _ in 0..40 {
        simulation.step(&one_busy_model(20.0));
    }
    for index in MODELS - 3..MODELS {
        let holders = simulation.holders(&model(index));
        assert!(holders >= 2, "{holders} holders of {}", model(index));
    }
    let busy = simulation.holders(&model(0));
    assert!(busy >= 6, "{busy} holders of the busy model");
}

#[test]
fn replicas_ahead_of_demand_leave_a_busy_model_room_to_grow() {
    let mut simulation = PlacementSimulation::new();
    for _ in 0..40 {
        simulation.step(&one_busy_model(40.0));
    }
    // These are enough replicas for twice the demand.
    let busy = simulation.holders(&model(0));
    assert!(busy >= 13, "{busy} holders of the busy model");
}

#[test]
fn initial_replicas_are_kept_until_the_first_requests() {
    let mut simulation = PlacementSimulation::new();
    let before = simulation.holders(&model(0));
    for _ in 0..25 {
        simulation.step(&BTreeMap::new());
    }
    let kept = simulation.holders(&model(0));
    assert!(kept * 4 >= before * 3, "{kept} of {before} replicas are left");
}

/// Shifts demand between the first four models and changes the leader at step `handover`, with the last account written
/// in a step that is a multiple of three. Returns the loads and the evictions that the successor began within three
/// seconds.
fn change_leader(handover: u32, has_account: bool) -> (usize, usize) {
    let mut simulation = PlacementSimulation::new();
    let start = simulation.now;
    let mut last_account: Option<(Instant, LoadAccount)> = None;
    for step in 0..60_u32 {
        let busy = (step / 6 % 4) as usize;
        let mut rates: BTreeMap<ModelId, f64> = (0..MODELS).map(|index| (model(index), 0.5)).collect();
        rates.insert(model(busy), 90.0);
        if step == handover {
            simulation.planner = PlacementPlanner::new(PlannerSettings::default());
            let age = |at: Instant| simulation.now.saturating_duration_since(at);
            let account = last_account.as_ref().filter(|_| has_account);
            let account = account.map(|(at, account)| (age(*at), account));
            simulation.planner.begin_term(simulation.now, account);
        }
        simulation.step(&rates);
        if step < handover && step % 3 == 0 {
            last_account = simulation
                .planner
                .load_account(simulation.now)
                .map(|account| (simulation.now, account));
            simulation.planner.confirm_account();
        }
    }
    let from = start + STEP * handover;
    let soon = |at: &&Instant| **at > from && **at <= from + Duration::from_secs(3);
    (
        simulation.store_loads.iter().filter(soon).count(),
        simulation.evictions.iter().filter(soon).count(),
    )
}

#[test]
fn a_successor_goes_on_loading_from_the_account_of_the_former_leader() {
    // Each step of the simulation asserts the bound on loads, also across the change of leader.
    let with_account: usize = (8..40).map(|handover| change_leader(handover, true).0).sum();
    let without: usize = (8..40).map(|handover| change_leader(handover, false).0).sum();
    assert_eq!(without, 0);
    assert!(with_account > 30, "{with_account} loads in 32 changes");
}

#[test]
fn a_successor_lets_replicas_give_way_that_the_former_leader_placed() {
    let evictions: usize = (8..40).map(|handover| change_leader(handover, true).1).sum();
    assert!(evictions > 30, "{evictions} evictions in 32 changes");
}

#[test]
fn a_model_whose_only_runner_is_lost_is_loaded_on_another() {
    let mut simulation = PlacementSimulation::new();
    let low_rates: BTreeMap<ModelId, f64> = (0..MODELS).map(|index| (model(index), 1.0)).collect();
    for _ in 0..10 {
        simulation.step(&low_rates);
    }
    simulation.runners.remove(4);
    let lost = model(5);
    // This does not call `step`, whose invariants fail until the model is loaded again.
    for _ in 0..25 {
        simulation.now += STEP;
        for runner in &mut simulation.runners {
            runner.finish(simulation.now);
        }
        let holdings: Vec<RunnerHoldings> = simulation
            .runners
            .iter()
            .map(|runner| runner.holdings.clone())
            .collect();
        for order in simulation.planner.plan(simulation.now, &engine(), &holdings) {
            let found = simulation
                .runners
                .iter_mut()
                .find(|runner| runner.holdings.backend == order.backend);
            found.unwrap().begin(simulation.now, order.kind, order.name.model);
        }
    }
    assert_eq!(simulation.holders(&lost), 1);
}

#[test]
fn an_adapter_in_use_is_evicted_only_for_another_model_or_after_two_refusals() {
    let now = Instant::now();
    let held = BTreeMap::from([
        (model(0), BTreeSet::from(["a1".into(), "a2".into()])),
        (model(1), BTreeSet::new()),
    ]);
    let name = |index: usize, adapter: &str| ModelName {
        model: model(index),
        adapter: Some(adapter.into()),
    };
    let mut evictor = AdapterEvictor::default();
    let slot_for = |evictor: &mut AdapterEvictor, at: Instant, slots: u32, wanted: usize| {
        evictor.find_slot(at, &"r".into(), &held, slots, &name(wanted, "a9"))
    };
    assert_eq!(slot_for(&mut evictor, now, 3, 0), AdapterSlot::Free);
    evictor.record_use(now, &"r".into(), &name(0, "a1"));
    assert_eq!(
        slot_for(&mut evictor, now, 2, 0),
        AdapterSlot::AfterEviction(name(0, "a2"))
    );
    evictor.record_use(now, &"r".into(), &name(0, "a2"));
    assert_eq!(slot_for(&mut evictor, now, 2, 0), AdapterSlot::Unavailable);
    assert_eq!(
        slot_for(&mut evictor, now, 2, 1),
        AdapterSlot::AfterEviction(name(0, "a1"))
    );
    for _ in 1..2 {
        assert_eq!(slot_for(&mut evictor, now, 2, 0), AdapterSlot::Unavailable);
    }
    assert_eq!(
        slot_for(&mut evictor, now, 2, 0),
        AdapterSlot::AfterEviction(name(0, "a1"))
    );
    assert_eq!(slot_for(&mut evictor, now, 2, 0), AdapterSlot::Unavailable);
    let later = now + Duration::from_secs(2);
    evictor.record_use(later, &"r".into(), &name(0, "a1"));
    assert_eq!(
        slot_for(&mut evictor, later, 2, 0),
        AdapterSlot::AfterEviction(name(0, "a2"))
    );
    evictor.forget_runner(&"r".into());
    assert_eq!(
        slot_for(&mut evictor, later, 2, 0),
        AdapterSlot::AfterEviction(name(0, "a1"))
    );
}
