//! Placement of models and adapters on listed runners, by the policy that the rest of the system uses.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use derive_more::Display;

use super::{EngineProfile, ModelName};
use crate::{
    ids::{BackendId, ModelId},
    log::Artifact,
    placement::{
        AcceleratorView, ArtifactDemand, DomainView, Holding, HoldingState, PlacementPolicy, PlannedMove, RunnerView,
        demand::{DemandEstimator, DemandSettings},
        gain::LoadTimes,
        share::{LoadAccount, LoadBound, SharePolicy, ShareSettings},
    },
    resources::PriorityClass,
};

/// Loads within the allowed number that are kept back for orders carried out late or twice.
const SPARE_LOADS: f64 = 2.0;
/// Time by which orders may arrive later than they are given, so that loads draw together.
const WINDOW_MARGIN: Duration = Duration::from_millis(500);
/// Part of a loaded runner's time that goes into prompts; the rest goes into the answers under way.
const PROMPT_SHARE: f64 = 0.7;
/// Growth of all demand together that is planned for. Demand that moves from one model to another does not grow as a whole,
/// though the trend of the model that it moves to looks so.
const MAX_TOTAL_GROWTH: f64 = 1.5;
/// Part of a comfortable rate that each replica is taken to get before the first request.
const UNASKED_SHARE: f64 = 0.8;
/// Weight of a model with adapters among those that were not asked for: each adapter stands for callers to come.
const ADAPTED_WEIGHT: f64 = 2.0;
/// Weight of the newest measured time to a first word.
const FIRST_WORD_WEIGHT: f64 = 0.1;
/// Requests a second that a runner is taken to bear before a rate was measured.
const DEFAULT_RUNNER_RATE: f64 = 10.0;

/// Settings of [`PlacementPlanner`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Settings of the placement policy.
    pub share: ShareSettings,
    /// Settings of the demand estimate.
    pub demand: DemandSettings,
    /// Window in which loads from the weight store are counted.
    pub load_window: Duration,
    /// Factor on the weight store's rate within the window.
    pub load_overage: f64,
    /// Loads beyond that within the window.
    pub load_extra: f64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            share: ShareSettings::default(),
            demand: DemandSettings {
                fast_time_constant: Duration::from_millis(1_500),
                slow_time_constant: Duration::from_secs(4),
                lead_time: Duration::from_secs(5),
                max_growth: 3.0,
                extrapolates_fall: true,
            },
            load_window: Duration::from_secs(5),
            load_overage: 1.0,
            load_extra: 0.0,
        }
    }
}

/// What an order asks a runner to do.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load the weights.
    #[display("load")]
    Load,
    /// Drop the weights.
    #[display("evict")]
    Evict,
}

/// An order that a plan wants to be given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Runner that carries it out.
    pub backend: BackendId,
    /// What to do.
    pub kind: OrderKind,
    /// Model, or adapter of it.
    pub name: ModelName,
}

/// What one runner holds, or may come to hold by an order that is out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerHoldings {
    /// Runner.
    pub backend: BackendId,
    /// Whether it takes orders and new work.
    pub is_usable: bool,
    /// Whether an order is out, so that it takes no other.
    pub is_busy: bool,
    /// Models that answer.
    pub resident: BTreeSet<ModelId>,
    /// Models that an order may bring.
    pub arriving: BTreeSet<ModelId>,
    /// Models that an order may drop.
    pub leaving: BTreeSet<ModelId>,
    /// Models that the runner has copies of outside its accelerators.
    pub cached: BTreeSet<ModelId>,
}

/// Plans the loads and evictions of models.
#[derive(Debug)]
pub struct PlacementPlanner {
    settings: PlannerSettings,
    policy: SharePolicy,
    demand: DemandEstimator,
    runner_rate: f64,
    /// Factor that keeps the sum of the forecasts within what all callers together may come to ask for.
    forecast_scale: f64,
    /// Most replicas that each model had before the first request.
    first_holders: BTreeMap<ModelId, usize>,
    /// Models that were ever asked for.
    asked: BTreeSet<ModelId>,
}

impl PlacementPlanner {
    /// Creates a planner that has seen no demand.
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            policy: SharePolicy::new(settings.share),
            demand: DemandEstimator::new(settings.demand),
            runner_rate: DEFAULT_RUNNER_RATE,
            forecast_scale: 1.0,
            first_holders: BTreeMap::new(),
            asked: BTreeSet::new(),
        }
    }

    /// Takes the requests for each model since the last call, from all nodes, refused ones included.
    pub fn observe_demand(&mut self, now: Instant, arrivals: &BTreeMap<ModelId, f64>) {
        self.asked.extend(arrivals.keys().cloned());
        let arrivals = arrivals
            .iter()
            .map(|(model, count)| (model_artifact(model), *count))
            .collect();
        self.demand.observe(now, &arrivals);
        let (present, foretold) = self.demand.total_rates();
        self.forecast_scale = (present * MAX_TOTAL_GROWTH / foretold.max(f64::EPSILON)).min(1.0);
    }

    /// Takes the time that an idle runner needs to a first word.
    pub fn set_first_word_time(&mut self, time: Duration) {
        let rate = PROMPT_SHARE / time.as_secs_f64().max(1e-3);
        self.runner_rate += (rate.max(0.1) - self.runner_rate) * FIRST_WORD_WEIGHT;
    }

    /// Returns the requests a second that one runner is taken to answer in time.
    pub fn runner_rate(&self) -> f64 {
        self.runner_rate
    }

    /// Returns the rate at which a model is asked for.
    pub fn rate_of(&self, model: &ModelId) -> f64 {
        self.demand.forecast(&model_artifact(model)) * self.forecast_scale
    }

    /// Notes that this node begins to lead after another one; `told` is that one's last account of its loads, if it is
    /// known, with the time since it was read.
    pub fn begin_term(&mut self, now: Instant, told: Option<(Duration, &LoadAccount)>) {
        self.policy.set_bound(LoadBound {
            window: self.settings.load_window + WINDOW_MARGIN,
            max_loads: 0,
        });
        match told {
            Some((age, account)) => self.policy.resume_term(now, age, account),
            None => self.policy.begin_term(now),
        }
    }

    /// Returns the account of the loads for a successor, or `None` before the first plan.
    pub fn account_loads(&mut self, now: Instant) -> Option<LoadAccount> {
        self.policy.account(now)
    }

    /// Notes that the last account is in the log.
    pub fn confirm_account(&mut self) {
        self.policy.confirm_account();
    }

    /// Notes that the order of a load got no answer.
    pub fn note_doubtful_load(&mut self, now: Instant) {
        self.policy.note_unconfirmed_load(now);
    }

    fn load_bound(&self, engine: &EngineProfile) -> LoadBound {
        let settings = &self.settings;
        let most =
            engine.loads_per_s * settings.load_window.as_secs_f64() * settings.load_overage + settings.load_extra;
        LoadBound {
            window: settings.load_window + WINDOW_MARGIN,
            max_loads: (most - SPARE_LOADS).max(1.0) as u32,
        }
    }

    /// Returns the orders to give now, at most one for a runner.
    pub fn plan(&mut self, now: Instant, engine: &EngineProfile, runners: &[RunnerHoldings]) -> Vec<PlacementOrder> {
        self.note_holders(runners);
        let view = self.view(engine, runners);
        self.policy.set_load_times(load_times(engine, runners));
        self.policy.set_bound(self.load_bound(engine));
        self.policy.set_headroom_weights(self.headroom_weights(engine));
        let moves = self.policy.plan(now, &view);
        let mut ordered: BTreeSet<BackendId> = BTreeSet::new();
        moves
            .into_iter()
            .map(to_order)
            .filter(|order| ordered.insert(order.backend.clone()))
            .filter(|order| {
                let busy = runners.iter().find(|runner| runner.backend == order.backend);
                busy.is_some_and(|runner| !runner.is_busy)
            })
            .collect()
    }

    fn view(&self, engine: &EngineProfile, runners: &[RunnerHoldings]) -> DomainView {
        let adapter_mb = engine.models.values().map(|model| model.adapter_mb).fold(0.0, f64::max);
        let reserved_mb = adapter_mb * f64::from(engine.adapter_slots);
        let capacity_mib = (engine.weights_mb - reserved_mb).max(0.0).floor() as u64;
        let views: Vec<RunnerView> = runners
            .iter()
            .map(|runner| RunnerView {
                backend: runner.backend.clone(),
                is_unschedulable: !runner.is_usable,
                max_concurrency: self.runner_rate.round().max(1.0) as u32,
                accelerators: vec![AcceleratorView {
                    capacity_mib,
                    holdings: holdings(engine, runner),
                }],
            })
            .collect();
        DomainView {
            demands: self.demands(engine),
            runners: views,
            ..DomainView::default()
        }
    }

    fn demands(&self, engine: &EngineProfile) -> Vec<ArtifactDemand> {
        engine
            .models
            .iter()
            .map(|(model, profile)| ArtifactDemand {
                artifact: model_artifact(model),
                memory_mib: profile.weights_mb.ceil() as u64,
                requests_per_second: self.expected_rate(model),
                priority: PriorityClass::Interactive,
                base_assignments: Vec::new(),
            })
            .collect()
    }

    fn note_holders(&mut self, runners: &[RunnerHoldings]) {
        if !self.asked.is_empty() {
            return;
        }
        let mut counts: BTreeMap<&ModelId, usize> = BTreeMap::new();
        for model in runners.iter().flat_map(|runner| &runner.resident) {
            *counts.entry(model).or_default() += 1;
        }
        for (model, count) in counts {
            let most = self.first_holders.entry(model.clone()).or_default();
            *most = count.max(*most);
        }
    }

    /// Returns the rate to plan for. Before the first request of all, the replicas that were there tell which models are
    /// busy.
    fn expected_rate(&self, model: &ModelId) -> f64 {
        if !self.asked.is_empty() {
            return self.rate_of(model);
        }
        let holders = self.first_holders.get(model).copied().unwrap_or_default();
        self.runner_rate * self.settings.share.comfortable_utilisation * holders as f64 * UNASKED_SHARE
    }

    /// Returns how much each model that nobody has asked for yet deserves a replica that is not needed elsewhere: nothing
    /// is known of its demand, and a load begun with its first requests comes seconds late.
    fn headroom_weights(&self, engine: &EngineProfile) -> BTreeMap<Artifact, f64> {
        let unasked = engine.models.iter().filter(|(model, _)| !self.asked.contains(*model));
        unasked
            .map(|(model, profile)| {
                let weight = if profile.adapters > 0 { ADAPTED_WEIGHT } else { 1.0 };
                (model_artifact(model), weight)
            })
            .collect()
    }
}

fn holdings(engine: &EngineProfile, runner: &RunnerHoldings) -> Vec<Holding> {
    let state = |model: &ModelId| {
        if runner.leaving.contains(model) {
            HoldingState::Unloading
        } else if runner.resident.contains(model) {
            HoldingState::Resident
        } else {
            HoldingState::Reserved
        }
    };
    let held: BTreeSet<&ModelId> = runner
        .resident
        .iter()
        .chain(&runner.arriving)
        .chain(&runner.leaving)
        .collect();
    held.into_iter()
        .map(|model| Holding {
            artifact: model_artifact(model),
            // A model of an older configuration takes an unknown amount; a full runner is the safe assumption.
            memory_mib: engine
                .models
                .get(model)
                .map_or(engine.weights_mb, |profile| profile.weights_mb)
                .ceil() as u64,
            state: state(model),
        })
        .collect()
}

fn load_times(engine: &EngineProfile, runners: &[RunnerHoldings]) -> LoadTimes {
    let from_store = engine
        .models
        .iter()
        .map(|(model, profile)| (model_artifact(model), profile.load_time));
    let from_copy = runners.iter().map(|runner| {
        let copies = runner.cached.iter().filter_map(|model| {
            let profile = engine.models.get(model)?;
            Some((model_artifact(model), profile.copy_load_time))
        });
        (runner.backend.clone(), copies.collect())
    });
    LoadTimes {
        from_store: from_store.collect(),
        from_copy: from_copy.collect(),
    }
}

fn model_artifact(model: &ModelId) -> Artifact {
    Artifact {
        model: model.clone(),
        adapter: None,
        version: "".into(),
    }
}

fn to_order(planned: PlannedMove) -> PlacementOrder {
    let (kind, backend, artifact) = match planned {
        PlannedMove::Load { backend, artifact, .. } => (OrderKind::Load, backend, artifact),
        PlannedMove::Unload { backend, artifact, .. } => (OrderKind::Evict, backend, artifact),
    };
    PlacementOrder {
        backend,
        kind,
        name: ModelName {
            model: artifact.model,
            adapter: artifact.adapter,
        },
    }
}
