//! Giving one order to one runner.

use std::{sync::Arc, time::Duration};

use metrics::counter;
use mustardgate::events;
use mustardgate_core::{
    clock,
    relay::{EngineProfile, ListedRunner, ModelName, OrderKind, PlacementOrder},
};
use slog::o;

use super::desk::{OrderMemory, RunnerDesk};
use crate::{
    context::RelayContext,
    ports::{OrderReply, RunnerOrder, RunnerReport},
};

/// Carries out one order about a model, if the runner's own report still allows it.
pub(super) async fn order_model(context: Arc<RelayContext>, engine: Arc<EngineProfile>, order: PlacementOrder) {
    let Some(cell) = context.fleet.get(&order.backend) else {
        return;
    };
    let listed = cell.listed();
    let desk = context.leader.runner(&listed);
    let mut memory = desk.orders.lock().await;
    // Models move rarely, so the report is always read anew.
    memory.report = None;
    let report = ensure_report(&context, &listed, &mut memory).await.cloned();
    let withheld = match &report {
        None => Some("no_report"),
        Some(report) if report.is_busy => Some("busy"),
        Some(report) => (!is_sound(&engine, report, &order)).then_some("unsound"),
    };
    if let Some(reason) = withheld {
        desk.defer();
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
    let reply = give(&context, &listed, &mut memory, order.kind, &order.name).await;
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
        desk.note_move(&order.name.model, order.kind == OrderKind::Load, load_time);
    }
}

/// Gives an order under the lease, and brings the memory of the runner forward.
pub(super) async fn give(
    context: &RelayContext,
    listed: &ListedRunner,
    memory: &mut OrderMemory,
    kind: OrderKind,
    name: &ModelName,
) -> OrderReply {
    let (Some(token), Some(report)) = (context.leader.token(), memory.report.as_mut()) else {
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
    let reply = context.ports.control.order(&order).await;
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
        // An eviction that is done at once is answered as one that holds already, and counts.
        OrderReply::Accepted | OrderReply::AlreadyHolds
            if reply == OrderReply::Accepted || kind == OrderKind::Evict =>
        {
            report.order_count += 1;
            bring_forward(report, kind, name);
            memory.counted = Some((report.order_count, clock::now()));
        }
        OrderReply::Fenced => context.leader.forfeit(),
        OrderReply::Refused | OrderReply::NotSent => {}
        OrderReply::Accepted | OrderReply::AlreadyHolds | OrderReply::Conflict | OrderReply::Unknown => memory.doubt(),
    }
    reply
}

fn bring_forward(report: &mut RunnerReport, kind: OrderKind, name: &ModelName) {
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

/// Returns whether a runner in the reported state may carry the order out: a load must fit beside everything it holds.
fn is_sound(engine: &EngineProfile, report: &RunnerReport, order: &PlacementOrder) -> bool {
    let model = &order.name.model;
    let is_held = report.models.contains_key(model);
    if order.kind == OrderKind::Evict {
        return is_held;
    }
    let Some(profile) = engine.models.get(model) else {
        return false;
    };
    let adapter_mb = engine.models.values().map(|model| model.adapter_mb).fold(0.0, f64::max);
    let reserved_mb = adapter_mb * f64::from(engine.adapter_slots);
    // A model that the configuration does not name takes an unknown amount.
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
    !is_held && held_mb + profile.weights_mb + reserved_mb <= engine.weights_mb
}

/// Returns a fresh report where none is remembered.
pub(super) async fn ensure_report<'a>(
    context: &RelayContext,
    listed: &ListedRunner,
    memory: &'a mut OrderMemory,
) -> Option<&'a RunnerReport> {
    if memory.report.is_none() && memory.is_settled() {
        let report = context.ports.control.report(&listed.id, listed.address).await;
        // A report from before the last order would have the next one refused.
        memory.report = report.filter(|report| !memory.is_outdated(report));
        memory.settled_at = None;
    }
    memory.report.as_ref()
}

/// Returns the desk of a runner that the leader may order, with its entry.
pub(super) fn desk_of(context: &RelayContext, backend: &str) -> Option<(Arc<RunnerDesk>, Arc<ListedRunner>)> {
    let cell = context.fleet.get(&backend.into())?;
    let listed = cell.listed();
    Some((context.leader.runner(&listed), listed))
}
