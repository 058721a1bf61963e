//! Reads runners' own reports while their entries cannot be read, to detect when pending loads and evictions complete.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    relay::{ListedRunner, RunnerObservation},
};
use slog::o;
use tokio::time;

use crate::{context::RelayContext, request_log::list_names};

/// Time between two polls of the runners with pending orders.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls runners with pending orders while this node leads and the list of runners cannot be read.
#[derive(Debug)]
pub struct WatchTask {
    context: Arc<RelayContext>,
}

impl WatchTask {
    /// Creates the task.
    pub fn new(context: Arc<RelayContext>) -> Self {
        Self { context }
    }

    /// Runs until the process ends.
    pub async fn run(self) {
        loop {
            time::sleep(POLL_INTERVAL).await;
            if self.context.leader.token().is_some() && self.context.fleet.has_recent_outage(clock::now()) {
                self.poll().await;
            }
        }
    }

    async fn poll(&self) {
        let listed = self.context.fleet.all().into_iter().map(|cell| cell.listed());
        let pending: Vec<Arc<ListedRunner>> = listed.filter(|listed| self.has_pending_moves(listed)).collect();
        join_all(pending.iter().map(|listed| self.read(listed))).await;
    }

    fn has_pending_moves(&self, listed: &ListedRunner) -> bool {
        let (arriving, leaving) = self.context.leader.runner_orders(listed).pending_moves(listed);
        !arriving.is_empty() || !leaving.is_empty()
    }

    async fn read(&self, listed: &ListedRunner) {
        let report = self.context.ports.control.report(&listed.id, listed.address).await;
        let is_same_process = |started_at_ms: Option<u64>| started_at_ms.is_none_or(|at| at == listed.started_at_ms);
        let Some(report) = report.filter(|report| is_same_process(report.started_at_ms)) else {
            return;
        };
        let observation = RunnerObservation {
            id: listed.id.clone(),
            started_at_ms: listed.started_at_ms,
            models: report.models,
            cached_models: report.cached_models,
            order_count: report.order_count,
        };
        if !self.context.fleet.observe(&observation) {
            return;
        }
        counter!("mustardgate_runner_observations_total").increment(1);
        events::RELAY_RUNNER_OBSERVED.write(
            self.context.log.logger(),
            o!(
                "models" => list_names(observation.models.keys()),
                "order_count" => observation.order_count,
                "backend" => listed.id.to_string(),
            ),
        );
        self.context.observations.record(observation);
    }
}
