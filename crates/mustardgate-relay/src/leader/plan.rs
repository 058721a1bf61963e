//! Plans the placement of models on runners while the node leads.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::ServiceId,
    relay::{EngineProfile, PlacementPlanner, RunnerHoldings, RunnerState},
};
use slog::o;
use tokio::time;

use super::orders::order_model;
use crate::context::RelayContext;

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(400);

/// Plans placements and sends the resulting orders while the node leads.
#[derive(Debug)]
pub struct PlanTask {
    context: Arc<RelayContext>,
}

impl PlanTask {
    /// Creates the task.
    pub fn new(context: Arc<RelayContext>) -> Self {
        Self { context }
    }

    /// Runs until the process ends.
    pub async fn run(self) {
        loop {
            let woken_at = clock::now() + PLAN_INTERVAL;
            time::sleep(PLAN_INTERVAL).await;
            self.context
                .load
                .record_lag(clock::now().saturating_duration_since(woken_at));
            if self.context.leader.token().is_some() {
                self.plan();
            }
        }
    }

    fn plan(&self) {
        let Some(active) = self.context.routes.current() else {
            return;
        };
        for (service, profile) in &active.config.services {
            if let Some(engine) = &profile.engine {
                self.plan_service(service, engine);
            }
        }
    }

    fn plan_service(&self, service: &ServiceId, engine: &EngineProfile) {
        let (now, lease_now) = (clock::now(), self.context.leader.lease_time());
        let runners = self.list_holdings(service);
        let (orders, demand, effort) = {
            let mut state = self.context.leader.lock();
            let arrivals = state.arrivals.remove(service).unwrap_or_default();
            let planner = state.planner(service, lease_now);
            planner.observe_demand(now, &arrivals);
            let orders = planner.plan(now, engine, &runners);
            (orders, describe_demand(planner, engine, &runners), planner.effort())
        };
        let elapsed = clock::now().saturating_duration_since(now);
        self.context.load.record_plan(elapsed, effort);
        if orders.is_empty() {
            return;
        }
        events::RELAY_PLACEMENT_PLANNED.write(
            self.context.log.logger(),
            o!("elapsed_ms" => elapsed.as_millis() as u64, "demand" => demand, "orders" => orders.len(), "service" => service.to_string()),
        );
        let engine = Arc::new(engine.clone());
        for order in orders {
            tokio::spawn(order_model(Arc::clone(&self.context), Arc::clone(&engine), order));
        }
    }

    fn list_holdings(&self, service: &ServiceId) -> Vec<RunnerHoldings> {
        let cells = self.context.fleet.of_service(service);
        let holdings = cells.iter().map(|cell| {
            let listed = cell.listed();
            let orders = self.context.leader.runner_orders(&listed);
            let (arriving, leaving) = orders.pending_moves(&listed);
            let holdings = RunnerHoldings {
                backend: listed.id.clone(),
                request_limit: self.context.limits.rate(&listed),
                is_usable: listed.state == RunnerState::Ready,
                is_busy: !arriving.is_empty()
                    || !leaving.is_empty()
                    || orders.is_deferred()
                    || orders.cache.try_lock().is_err(),
                resident: listed.models.keys().cloned().collect(),
                arriving,
                leaving,
                cached: listed.cached_models.clone(),
            };
            (listed.id.clone(), holdings)
        });
        holdings.collect::<BTreeMap<_, _>>().into_values().collect()
    }
}

/// Describes the models in most demand, each with its requests per second and number of holders, for the log.
fn describe_demand(planner: &PlacementPlanner, engine: &EngineProfile, runners: &[RunnerHoldings]) -> String {
    /// Number of models described.
    const MAX_MODELS: usize = 8;
    let mut rates: Vec<_> = engine
        .models
        .keys()
        .map(|model| (planner.forecast_rate(model), model))
        .collect();
    rates.sort_by(|left, right| right.0.total_cmp(&left.0));
    let models = rates.into_iter().take(MAX_MODELS).map(|(rate, model)| {
        let holders = runners.iter().filter(|runner| runner.resident.contains(model)).count();
        format!("{model}:{rate:.1}/{holders}")
    });
    let models: Vec<String> = models.collect();
    format!("{} capacity:{:.1}", models.join(" "), planner.runner_rate())
}
