//! Sends single orders to runners.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    relay::{EngineProfile, ListedRunner, ModelName, OrderKind, PlacementOrder},
};
use slog::o;

use super::runner_orders::{ReportCache, RunnerOrders};
use crate::{
    context::RelayContext,
    ports::{OrderReply, RunnerOrder, RunnerReport},
};

/// Sends one order about a model if the runner's own report still allows it.
pub(super) async fn order_model(context: Arc<RelayContext>, engine: Arc<EngineProfile>, order: PlacementOrder) {
    let Some(cell) = context.fleet.get(&order.backend) else {
        return;
    };
    let listed = cell.listed();
    let orders = context.leader.runner_orders(&listed);
    let mut cache = orders.cache.lock().await;
    // Orders about models are rare, so the report is always read again.
    cache.report = None;
    let report = ensure_report(&context, &listed, &mut cache).await.cloned();
    let withheld_reason = match &report {
        None => Some("no_report"),
        Some(report) if report.is_busy => Some("busy"),
        Some(report) if !is_feasible(&engine, report, &order, 0.0) => Some("unsound"),
        Some(report) => {
            let claimed_mb = orders.claimed_weights(&cache, &engine);
            let held_slots: usize = report.held_adapters().values().map(BTreeSet::len).sum();
            let claimed_slots = orders.claimed_slots(&cache) as usize;
            let has_slots = claimed_slots == 0 || held_slots + claimed_slots <= engine.adapter_slots as usize;
            (!has_slots || !is_feasible(&engine, report, &order, claimed_mb)).then_some("claimed")
        }
    };
    if let Some(reason) = withheld_reason {
        orders.defer();
        let values = o!(
            "reason" => reason,
            "report" => format!("{report:?}"),
            "name" => order.name.to_text().to_string(),
            "kind" => order.kind.to_string(),
            "backend" => listed.id.to_string(),
        );
        events::RELAY_ORDER_WITHHELD.write(context.log.logger(), values);
        return;
    }
    let reply = send_order(&context, &listed, &orders, &mut cache, order.kind, &order.name).await;
    if reply == OrderReply::Unknown && order.kind == OrderKind::Load {
        let lease_now = context.leader.lease_time();
        let mut state = context.leader.lock();
        state
            .planner(&listed.service, lease_now)
            .record_unconfirmed_load(clock::now());
    }
    if matches!(reply, OrderReply::Accepted | OrderReply::Unknown) {
        let load_time = engine
            .models
            .get(&order.name.model)
            .map_or(Duration::ZERO, |model| model.load_time);
        orders.record_move(&order.name.model, order.kind == OrderKind::Load, load_time);
    }
}

/// Sends an order under the lease and applies its outcome to the runner's cached report.
pub(super) async fn send_order(
    context: &RelayContext,
    listed: &ListedRunner,
    orders: &RunnerOrders,
    cache: &mut ReportCache,
    kind: OrderKind,
    name: &ModelName,
) -> OrderReply {
    let (Some(token), Some(report)) = (context.leader.token(), cache.report.as_mut()) else {
        return OrderReply::NotSent;
    };
    let order = RunnerOrder {
        backend: listed.id.clone(),
        address: listed.address,
        kind,
        name: name.clone(),
        holder: context.settings.node.name.clone(),
        fencing_token: token,
        expected_count: report.order_count,
    };
    let claim = orders.claims().begin(clock::now(), order.expected_count, kind, name);
    let reply = context.ports.control.order(&order).await;
    if reply != OrderReply::Unknown {
        orders.claims().settle(claim);
    }
    counter!("mustardgate_orders_total", "kind" => kind.to_string(), "reply" => format!("{reply:?}")).increment(1);
    let values = o!(
        "reply" => format!("{reply:?}"),
        "expected_count" => order.expected_count,
        "token" => token,
        "name" => name.to_text().to_string(),
        "kind" => kind.to_string(),
        "backend" => listed.id.to_string(),
    );
    events::RELAY_ORDER_SENT.write(context.log.logger(), values);
    match reply {
        // The eviction may be a repeat, which is not counted, and waits for requests; only reports show its effect.
        OrderReply::Accepted if kind == OrderKind::Evict && name.adapter.is_some() => {
            cache.begin_eviction(name);
            cache.invalidate();
        }
        // An eviction that completes at once is answered with `AlreadyHolds` and increases the order count.
        OrderReply::Accepted | OrderReply::AlreadyHolds
            if reply == OrderReply::Accepted || kind == OrderKind::Evict =>
        {
            report.order_count += 1;
            apply_order(report, kind, name);
            cache.last_count = Some((report.order_count, clock::now()));
        }
        OrderReply::Fenced => context.leader.forfeit(),
        OrderReply::Refused | OrderReply::NotSent => {}
        OrderReply::Accepted | OrderReply::AlreadyHolds | OrderReply::Conflict | OrderReply::Unknown => {
            cache.invalidate();
        }
    }
    reply
}

fn apply_order(report: &mut RunnerReport, kind: OrderKind, name: &ModelName) {
    match (&name.adapter, kind) {
        (None, _) => report.is_busy = true,
        (Some(adapter), OrderKind::Load) => {
            let adapters = report.models.entry(name.model.clone()).or_default();
            adapters.insert(adapter.clone());
        }
        (Some(adapter), OrderKind::Evict) => {
            if let Some(adapters) = report.models.get_mut(&name.model) {
                adapters.remove(adapter);
            }
        }
    }
}

/// Returns whether a runner in the reported state can execute the order: a load must fit beside all models it holds
/// and the weights that other orders may still bring.
fn is_feasible(engine: &EngineProfile, report: &RunnerReport, order: &PlacementOrder, claimed_mb: f64) -> bool {
    let model = &order.name.model;
    let is_held = report.models.contains_key(model);
    if order.kind == OrderKind::Evict && claimed_mb == 0.0 {
        return is_held;
    }
    let Some(profile) = engine.models.get(model) else {
        return false;
    };
    let adapter_mb = engine.models.values().map(|model| model.adapter_mb).fold(0.0, f64::max);
    let reserved_mb = adapter_mb * f64::from(engine.adapter_slots);
    // A model missing from the configuration counts as filling the whole memory for weights, since its size is unknown.
    let held_mb: f64 = report
        .models
        .keys()
        .map(|held| {
            engine
                .models
                .get(held)
                .map_or(engine.weights_mb, |held| held.weights_mb)
        })
        .sum();
    let change_mb = match order.kind {
        OrderKind::Load => profile.weights_mb,
        OrderKind::Evict => -profile.weights_mb,
    };
    let is_load = order.kind == OrderKind::Load;
    is_held != is_load && held_mb + claimed_mb + change_mb + reserved_mb <= engine.weights_mb
}

/// Returns the cached report, or reads a new one if none is cached and the effect of earlier orders is visible.
pub(super) async fn ensure_report<'a>(
    context: &RelayContext,
    listed: &ListedRunner,
    cache: &'a mut ReportCache,
) -> Option<&'a RunnerReport> {
    if cache.report.is_none() && cache.is_settled() {
        let report = context.ports.control.report(&listed.id, listed.address).await;
        // A report older than the last order has too low an order count, and the runner would refuse the next order.
        let report = report.filter(|report| !cache.is_outdated(report));
        cache.store(report);
        cache.settled_at = None;
    }
    cache.report.as_ref()
}

/// Returns the orders to a known runner, with its entry.
pub(super) fn find_runner(context: &RelayContext, backend: &str) -> Option<(Arc<RunnerOrders>, Arc<ListedRunner>)> {
    let cell = context.fleet.get(&backend.into())?;
    let listed = cell.listed();
    Some((context.leader.runner_orders(&listed), listed))
}
