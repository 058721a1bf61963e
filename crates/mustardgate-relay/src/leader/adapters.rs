//! Loads adapters on demand: a node asks the leader, and the leader orders a runner to load the adapter.

use std::{sync::Arc, time::Duration};

use mustardgate::events;
use mustardgate_core::{
    clock,
    ids::{BackendId, ServiceId},
    relay::{AdapterSlot, ListedRunner, ModelName, OrderKind},
};
use slog::o;
use tokio::{sync::oneshot, time};

use super::{
    orders::{ensure_report, find_runner, send_order},
    runner_orders::{ReportCache, RunnerOrders},
};
use crate::{
    context::RelayContext,
    ports::{OrderReply, RunnerReport},
};

/// Longest time of an adapter load while few loads are in progress.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(14);
/// Time after which the requester is told that the adapter is not loaded yet; the load continues.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for earlier orders to the same runner.
const ORDER_WAIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval and number of attempts to load an adapter into the slot of one that requests still use. Each attempt reads a
/// report, and reports lag behind the runner's state.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
const REPORT_ATTEMPTS: usize = 8;

/// Requests that an adapter be loaded on a runner that holds its model; returns whether the adapter is loaded.
pub async fn request_adapter(
    context: &Arc<RelayContext>,
    service: &ServiceId,
    backend: &BackendId,
    name: &ModelName,
) -> bool {
    if context.leader.token().is_some() {
        return load_adapter(context, service, backend, name).await;
    }
    match context.leader.leader_address() {
        Some(address) => context.peers.request_adapter(address, service, backend, name).await,
        None => false,
    }
}

/// Loads an adapter as leader, evicting another one if needed; returns whether it is loaded before the answer is due.
pub async fn load_adapter(
    context: &Arc<RelayContext>,
    service: &ServiceId,
    backend: &BackendId,
    name: &ModelName,
) -> bool {
    let Some((orders, listed)) = find_runner(context, backend) else {
        return false;
    };
    let slots = context.routes.current().and_then(|active| {
        let engine = active.config.services.get(service)?.engine.as_ref()?;
        engine.models.contains_key(&name.model).then_some(engine.adapter_slots)
    });
    let Some(slots) = slots else { return false };
    context.leader.lock().evictor.record_use(clock::now(), backend, name);
    let load = AdapterLoad {
        context: Arc::clone(context),
        orders,
        listed,
        name: name.clone(),
        slots,
    };
    let (sender, loaded) = oneshot::channel();
    // The load continues after the wait has timed out, because the caller was told to retry.
    tokio::spawn(async move {
        let is_loaded = load.run().await;
        // The receiver is gone if the wait timed out.
        let _is_abandoned = sender.send(is_loaded).is_err();
    });
    matches!(time::timeout(ANSWER_TIMEOUT, loaded).await, Ok(Ok(true)))
}

/// Result of one attempt to load an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadStep {
    Loaded,
    Abandoned,
    /// The next attempt needs a new report.
    AwaitReport,
}

/// The load of one adapter on one runner.
struct AdapterLoad {
    context: Arc<RelayContext>,
    orders: Arc<RunnerOrders>,
    listed: Arc<ListedRunner>,
    name: ModelName,
    slots: u32,
}

impl AdapterLoad {
    async fn run(&self) -> bool {
        // Do not wait long for a runner that has another order in progress; another runner may hold the model too.
        let Ok(mut cache) = time::timeout(ORDER_WAIT_TIMEOUT, self.orders.cache.lock()).await else {
            return false;
        };
        for _ in 0..REPORT_ATTEMPTS {
            match self.attempt(&mut cache).await {
                LoadStep::Loaded => return true,
                LoadStep::Abandoned => return false,
                // Only a new report shows that an eviction is complete, or how many orders were accepted.
                LoadStep::AwaitReport => time::sleep(REPORT_INTERVAL).await,
            }
        }
        false
    }

    async fn attempt(&self, cache: &mut ReportCache) -> LoadStep {
        let is_outdated = |report: &RunnerReport| !report.models.contains_key(&self.name.model);
        if cache.report.as_ref().is_some_and(is_outdated) {
            // The model was loaded by an order that completed after the report was read.
            cache.report = None;
        }
        let Some(report) = ensure_report(&self.context, &self.listed, cache).await else {
            return LoadStep::Abandoned;
        };
        let held = report.held_adapters();
        let Some(adapters) = held.get(&self.name.model) else {
            return LoadStep::Abandoned;
        };
        if self
            .name
            .adapter
            .as_ref()
            .is_some_and(|adapter| adapters.contains(adapter))
        {
            return LoadStep::Loaded;
        }
        if cache.is_evicting() {
            cache.invalidate();
            return LoadStep::AwaitReport;
        }
        let claimed = self.orders.claimed_slots(cache);
        let taken: u32 = held.values().map(|adapters| adapters.len() as u32).sum();
        let slots = self.slots.saturating_sub(claimed);
        let backend = &self.listed.id;
        let slot = {
            let mut state = self.context.leader.lock();
            state.evictor.find_slot(clock::now(), backend, &held, slots, &self.name)
        };
        match slot {
            AdapterSlot::Free => self.load(cache).await,
            AdapterSlot::Unavailable => LoadStep::Abandoned,
            AdapterSlot::AfterEviction(_) if taken + claimed > self.slots + 1 => self.withhold(cache, claimed),
            AdapterSlot::AfterEviction(victim) => match self.send_order(cache, OrderKind::Evict, &victim).await {
                // An eviction that is complete at once needs no report, unless orders without an answer exist.
                OrderReply::AlreadyHolds if taken - 1 + self.orders.claimed_slots(cache) < self.slots => {
                    self.load(cache).await
                }
                OrderReply::AlreadyHolds => self.withhold(cache, claimed),
                // The eviction waits for requests to end, and the runner accepts no other order until then.
                OrderReply::Accepted => LoadStep::AwaitReport,
                _ => LoadStep::Abandoned,
            },
        }
    }

    async fn load(&self, cache: &mut ReportCache) -> LoadStep {
        match self.send_order(cache, OrderKind::Load, &self.name).await {
            OrderReply::Accepted => {
                time::sleep(ADAPTER_LOAD_TIME).await;
                LoadStep::Loaded
            }
            OrderReply::AlreadyHolds => LoadStep::Loaded,
            _ => LoadStep::Abandoned,
        }
    }

    /// Sends no order, because earlier ones may still take the room that is left.
    fn withhold(&self, cache: &mut ReportCache, claimed: u32) -> LoadStep {
        let values = o!(
            "claimed" => claimed,
            "report" => format!("{:?}", cache.report),
            "name" => self.name.to_text().to_string(),
            "backend" => self.listed.id.to_string(),
        );
        events::RELAY_ADAPTER_WITHHELD.write(self.context.log.logger(), values);
        if !cache.is_extrapolated() {
            return LoadStep::Abandoned;
        }
        cache.invalidate();
        LoadStep::AwaitReport
    }

    async fn send_order(&self, cache: &mut ReportCache, kind: OrderKind, name: &ModelName) -> OrderReply {
        send_order(&self.context, &self.listed, &self.orders, cache, kind, name).await
    }
}
