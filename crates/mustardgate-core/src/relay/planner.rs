//! Placement of models on listed runners, by the placement policy that the rest of the system also uses.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
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
        share::{LoadAccount, LoadBound, PlanEffort, SharePolicy, ShareSettings},
    },
    resources::PriorityClass,
};

/// Loads of the allowed number that are held in reserve, because an order may be carried out late or twice.
const RESERVED_LOADS: f64 = 2.0;
/// Extension of the load window: orders may arrive late by up to this time, which can bring loads closer together.
const WINDOW_MARGIN: Duration = Duration::from_millis(500);
/// Share of a busy runner's time spent on prefill; the rest is spent on decode for the answers in progress.
const PREFILL_SHARE: f64 = 0.7;
/// Largest growth of the total demand that is planned for. Demand that shifts from one model to another leaves the
/// total unchanged, although the trend of the model that it shifts to looks like growth.
const MAX_TOTAL_GROWTH: f64 = 1.5;
/// Share of a comfortable rate that each replica is assumed to receive before the first request.
const INITIAL_RATE_SHARE: f64 = 0.8;
/// Headroom weight of a model with adapters that was never requested, against 1 for a model without adapters: each
/// adapter indicates callers to come.
const ADAPTER_MODEL_WEIGHT: f64 = 2.0;
/// Weight of the newest measured time to the first token in the moving average of the runner rate.
const FIRST_TOKEN_WEIGHT: f64 = 0.1;
/// Requests per second that a runner is assumed to handle before a rate was measured.
const DEFAULT_RUNNER_RATE: f64 = 10.0;

/// Settings of [`PlacementPlanner`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Settings of the placement policy.
    pub share: ShareSettings,
    /// Settings of the demand estimate.
    pub demand: DemandSettings,
    /// Sliding window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// Factor on the number of loads that the weight store's rate allows within the window.
    pub load_overage: f64,
    /// Loads allowed within the window in addition.
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

/// Kind of an order to a runner.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load the weights.
    #[display("load")]
    Load,
    /// Evict the weights.
    #[display("evict")]
    Evict,
}

/// An order that results from a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Runner that carries it out.
    pub backend: BackendId,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Model, or one of its adapters.
    pub name: ModelName,
}

/// Models that one runner holds, and those that an order in progress may add or remove.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerHoldings {
    /// Runner.
    pub backend: BackendId,
    /// Whether it accepts orders and new requests.
    pub is_usable: bool,
    /// Whether an order is in progress, during which it gets no other.
    pub is_busy: bool,
    /// Requests a second that it takes at most, if it states a limit.
    pub request_limit: Option<f64>,
    /// Models that are ready to answer requests.
    pub resident: BTreeSet<ModelId>,
    /// Models that an order in progress may load.
    pub arriving: BTreeSet<ModelId>,
    /// Models that an order in progress may evict.
    pub leaving: BTreeSet<ModelId>,
    /// Models of which the runner has a copy outside its accelerators.
    pub cached: BTreeSet<ModelId>,
}

/// Plans the loads and evictions of models.
#[derive(Debug)]
pub struct PlacementPlanner {
    settings: PlannerSettings,
    policy: SharePolicy,
    demand: DemandEstimator,
    runner_rate: f64,
    /// Factor that limits the sum of the forecasts to the largest planned growth of the total demand.
    forecast_scale: f64,
    /// Largest number of replicas that each model had before the first request.
    initial_replicas: BTreeMap<ModelId, usize>,
    /// Models that have been requested at least once.
    requested: BTreeSet<ModelId>,
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
            initial_replicas: BTreeMap::new(),
            requested: BTreeSet::new(),
        }
    }

    /// Records the number of requests for each model since the last call, from all nodes and including refused ones.
    pub fn observe_demand(&mut self, now: Instant, arrivals: &BTreeMap<ModelId, f64>) {
        self.requested.extend(arrivals.keys().cloned());
        let arrivals = arrivals
            .iter()
            .map(|(model, count)| (model_artifact(model), *count))
            .collect();
        self.demand.observe(now, &arrivals);
        let (current, forecast) = self.demand.total_rates();
        self.forecast_scale = (current * MAX_TOTAL_GROWTH / forecast.max(f64::EPSILON)).min(1.0);
    }

    /// Records a measured time to the first token of an idle runner.
    pub fn record_first_token_time(&mut self, time: Duration) {
        let rate = PREFILL_SHARE / time.as_secs_f64().max(1e-3);
        self.runner_rate += (rate.max(0.1) - self.runner_rate) * FIRST_TOKEN_WEIGHT;
    }

    /// Returns the requests per second that one runner is assumed to answer in time.
    pub fn runner_rate(&self) -> f64 {
        self.runner_rate
    }

    /// Returns the forecast request rate of a model, in requests per second.
    pub fn forecast_rate(&self, model: &ModelId) -> f64 {
        self.demand.forecast(&model_artifact(model)) * self.forecast_scale
    }

    /// Starts this node's term as leader after that of another node; `former` is the former leader's last account of
    /// its loads, if known, with the time since it was read.
    pub fn begin_term(&mut self, now: Instant, former: Option<(Duration, &LoadAccount)>) {
        self.policy.set_bound(LoadBound {
            window: self.settings.load_window + WINDOW_MARGIN,
            max_loads: 0,
        });
        match former {
            Some((age, account)) => self.policy.resume_term(now, age, account),
            None => self.policy.begin_term(now),
        }
    }

    /// Returns the account of recent loads for the next leader, or `None` before the first plan.
    pub fn load_account(&mut self, now: Instant) -> Option<LoadAccount> {
        self.policy.account(now)
    }

    /// Confirms that the last account was written to the log.
    pub fn confirm_account(&mut self) {
        self.policy.confirm_account();
    }

    /// Records that an order to load got no answer, so that it is unknown whether the load takes place.
    pub fn record_unconfirmed_load(&mut self, now: Instant) {
        self.policy.note_unconfirmed_load(now);
    }

    fn load_bound(&self, engine: &EngineProfile) -> LoadBound {
        let settings = &self.settings;
        let most =
            engine.loads_per_s * settings.load_window.as_secs_f64() * settings.load_overage + settings.load_extra;
        LoadBound {
            window: settings.load_window + WINDOW_MARGIN,
            max_loads: (most - RESERVED_LOADS).max(1.0) as u32,
        }
    }

    /// Returns the work of the last plan.
    pub fn effort(&self) -> PlanEffort {
        self.policy.effort()
    }

    /// Returns the orders to send now, at most one per runner.
    pub fn plan(&mut self, now: Instant, engine: &EngineProfile, runners: &[RunnerHoldings]) -> Vec<PlacementOrder> {
        self.record_initial_replicas(runners);
        let view = self.view(engine, runners);
        self.policy.set_load_times(load_times(engine, runners));
        self.policy.set_bound(self.load_bound(engine));
        self.policy.set_headroom_weights(self.headroom_weights(engine));
        let moves = self.policy.plan(now, &view);
        let mut ordered: BTreeSet<BackendId> = BTreeSet::new();
        let idle = runners.iter().filter(|runner| !runner.is_busy);
        let idle: HashSet<&BackendId> = idle.map(|runner| &runner.backend).collect();
        moves
            .into_iter()
            .map(to_order)
            .filter(|order| ordered.insert(order.backend.clone()))
            .filter(|order| idle.contains(&order.backend))
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
                request_capacity: self.runner_rate.round().max(1.0) as u32,
                request_limit: runner.request_limit,
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

    fn record_initial_replicas(&mut self, runners: &[RunnerHoldings]) {
        if !self.requested.is_empty() {
            return;
        }
        let mut counts: BTreeMap<&ModelId, usize> = BTreeMap::new();
        for model in runners.iter().flat_map(|runner| &runner.resident) {
            *counts.entry(model).or_default() += 1;
        }
        for (model, count) in counts {
            let largest = self.initial_replicas.entry(model.clone()).or_default();
            *largest = count.max(*largest);
        }
    }

    /// Returns the request rate to plan for. Before the first request for any model, the existing replicas indicate
    /// which models are busy.
    fn expected_rate(&self, model: &ModelId) -> f64 {
        if !self.requested.is_empty() {
            return self.forecast_rate(model);
        }
        let replicas = self.initial_replicas.get(model).copied().unwrap_or_default();
        self.runner_rate * self.settings.share.comfortable_utilisation * replicas as f64 * INITIAL_RATE_SHARE
    }

    /// Returns a headroom weight for each model that was never requested, by which replicas not needed elsewhere are
    /// assigned: nothing is known of its demand, and a load that starts with its first requests ends seconds too late.
    fn headroom_weights(&self, engine: &EngineProfile) -> BTreeMap<Artifact, f64> {
        let unrequested = engine
            .models
            .iter()
            .filter(|(model, _)| !self.requested.contains(*model));
        unrequested
            .map(|(model, profile)| {
                let weight = if profile.adapters > 0 {
                    ADAPTER_MODEL_WEIGHT
                } else {
                    1.0
                };
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
            // The size of a model from an older configuration is unknown; a full runner is the safe assumption.
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
    let from_cache = runners.iter().map(|runner| {
        let cached = runner.cached.iter().filter_map(|model| {
            let profile = engine.models.get(model)?;
            Some((model_artifact(model), profile.cached_load_time))
        });
        (runner.backend.clone(), cached.collect())
    });
    LoadTimes {
        from_store: from_store.collect(),
        from_cache: from_cache.collect(),
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
