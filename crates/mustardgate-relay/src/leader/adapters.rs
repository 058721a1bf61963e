//! Adapters on demand: a node asks the leader, and the leader has a runner load what a request needs.

use std::{sync::Arc, time::Duration};

use mustardgate_core::{
    clock,
    ids::{BackendId, ServiceId},
    relay::{AdapterSlot, ListedRunner, ModelName, OrderKind},
};
use tokio::{sync::oneshot, time};

use super::{
    desk::{OrderMemory, RunnerDesk},
    orders::{desk_of, ensure_report, give},
};
use crate::{
    context::RelayContext,
    ports::{OrderReply, RunnerReport},
};

/// Time that a load of an adapter takes at most while few are on their way.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(14);
/// Time after which whoever asked is told that the adapter is not there yet; its load goes on.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Time between two tries to load an adapter into the place of one that requests still use, and their number.
const EVICTION_LOOK: Duration = Duration::from_millis(150);
const EVICTION_LOOKS: usize = 20;

/// Has an adapter loaded on a runner that holds its model; returns whether it is there.
pub async fn want_adapter(
    context: &Arc<RelayContext>,
    service: &ServiceId,
    backend: &BackendId,
    name: &ModelName,
) -> bool {
    if context.leader.token().is_some() {
        return load_adapter(context, service, backend, name).await;
    }
    match context.leader.leader_address() {
        Some(address) => context.peers.want_adapter(address, service, backend, name).await,
        None => false,
    }
}

/// Orders an adapter as leader, after making room for it; returns whether it is there within a moment.
pub async fn load_adapter(
    context: &Arc<RelayContext>,
    service: &ServiceId,
    backend: &BackendId,
    name: &ModelName,
) -> bool {
    let Some((desk, listed)) = desk_of(context, backend) else {
        return false;
    };
    let slots = context.routes.current().and_then(|active| {
        let engine = active.config.services.get(service)?.engine.as_ref()?;
        engine.models.contains_key(&name.model).then_some(engine.adapter_slots)
    });
    let Some(slots) = slots else { return false };
    context.leader.lock().adapters.record_use(clock::now(), backend, name);
    let load = AdapterLoad {
        context: Arc::clone(context),
        desk,
        listed,
        name: name.clone(),
        slots,
    };
    let (done, loaded) = oneshot::channel();
    // The load goes on when nobody waits for it any more: the caller was told to come back.
    tokio::spawn(async move {
        let is_loaded = load.run().await;
        // Whoever asked may have stopped waiting.
        let _has_gone = done.send(is_loaded).is_err();
    });
    matches!(time::timeout(ANSWER_TIME, loaded).await, Ok(Ok(true)))
}

/// The load of one adapter on one runner.
struct AdapterLoad {
    context: Arc<RelayContext>,
    desk: Arc<RunnerDesk>,
    listed: Arc<ListedRunner>,
    name: ModelName,
    slots: u32,
}

impl AdapterLoad {
    async fn run(&self) -> bool {
        // A runner whose orders have to wait is not worth waiting for; another one may hold the model too.
        let Ok(mut memory) = time::timeout(EVICTION_LOOK, self.desk.orders.lock()).await else {
            return false;
        };
        let is_outdated = |report: &RunnerReport| !report.models.contains_key(&self.name.model);
        if memory.report.as_ref().is_some_and(is_outdated) {
            // The model came by an order that has been carried out since the report was read.
            memory.report = None;
        }
        let Some(report) = ensure_report(&self.context, &self.listed, &mut memory).await else {
            return false;
        };
        let held = report.held_adapters();
        let Some(adapters) = held.get(&self.name.model) else {
            return false;
        };
        if self
            .name
            .adapter
            .as_ref()
            .is_some_and(|adapter| adapters.contains(adapter))
        {
            return true;
        }
        let backend = &self.listed.id;
        let room = {
            let mut state = self.context.leader.lock();
            state
                .adapters
                .find_slot(clock::now(), backend, &held, self.slots, &self.name)
        };
        let looks = match room {
            AdapterSlot::Free => 1,
            AdapterSlot::Unavailable => return false,
            AdapterSlot::AfterEviction(victim) => match self.give(&mut memory, OrderKind::Evict, &victim).await {
                OrderReply::AlreadyHolds => 1,
                // The eviction waits for requests to end, and no other order is taken meanwhile.
                OrderReply::Accepted => EVICTION_LOOKS,
                _ => return false,
            },
        };
        self.load(&mut memory, looks).await
    }

    async fn load(&self, memory: &mut OrderMemory, looks: usize) -> bool {
        for look in 1..=looks {
            let before = memory.report.clone();
            match self.give(memory, OrderKind::Load, &self.name).await {
                OrderReply::Accepted => {
                    time::sleep(ADAPTER_LOAD_TIME).await;
                    return true;
                }
                OrderReply::AlreadyHolds => return true,
                OrderReply::Conflict if look < looks => {
                    memory.report = before;
                    time::sleep(EVICTION_LOOK).await;
                }
                _ => return false,
            }
        }
        false
    }

    async fn give(&self, memory: &mut OrderMemory, kind: OrderKind, name: &ModelName) -> OrderReply {
        give(&self.context, &self.listed, memory, kind, name).await
    }
}
