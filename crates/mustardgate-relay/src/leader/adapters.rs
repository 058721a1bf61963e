//! Adapters on demand: a node asks the leader, and the leader has a runner load what a request needs.

use std::time::Duration;

use mustardgate_core::{
    clock,
    ids::{BackendId, ServiceId},
    relay::{AllInUse, ModelName, OrderKind},
};
use tokio::time;

use super::orders::{desk_of, ensure_report, give};
use crate::{context::RelayContext, ports::OrderReply};

/// Time that a load of an adapter takes at most while few are on their way.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(14);
/// Orders for one adapter, when the first meets a state that changed.
const ORDER_TRIES: usize = 2;

impl RelayContext {
    /// Has an adapter loaded on a runner that holds its model; returns whether it is there.
    pub async fn want_adapter(&self, service: &ServiceId, backend: &BackendId, name: &ModelName) -> bool {
        if self.leader.token().is_some() {
            return self.load_adapter(service, backend, name).await;
        }
        match self.leader.leader_address() {
            Some(address) => self.peers.want_adapter(address, service, backend, name).await,
            None => false,
        }
    }

    /// Orders an adapter as leader, after making room for it.
    pub async fn load_adapter(&self, service: &ServiceId, backend: &BackendId, name: &ModelName) -> bool {
        let Some((desk, listed)) = desk_of(self, backend) else {
            return false;
        };
        let slots = self.routes.current().and_then(|active| {
            let engine = active.config.services.get(service)?.engine.as_ref()?;
            engine.models.contains_key(&name.model).then_some(engine.adapter_slots)
        });
        let (Some(slots), Some(adapter)) = (slots, &name.adapter) else {
            return false;
        };
        let mut memory = desk.orders.lock().await;
        self.leader.lock().adapters.note_use(clock::now(), backend, name);
        for _ in 0..ORDER_TRIES {
            let Some(report) = ensure_report(self, &listed, &mut memory).await else {
                return false;
            };
            let Some(adapters) = report.models.get(&name.model) else {
                return false;
            };
            if adapters.contains(adapter) {
                return true;
            }
            let victim = self
                .leader
                .lock()
                .adapters
                .victim(clock::now(), backend, &report.models, slots);
            match victim {
                Ok(None) => {}
                Err(AllInUse) => return false,
                Ok(Some(victim)) => match give(self, &listed, &mut memory, OrderKind::Evict, &victim).await {
                    OrderReply::AlreadyHolds => {}
                    // The eviction waits for requests to end, and no other order is taken meanwhile.
                    OrderReply::Accepted => {
                        memory.doubt();
                        return false;
                    }
                    _ => return false,
                },
            }
            match give(self, &listed, &mut memory, OrderKind::Load, name).await {
                OrderReply::Accepted => {
                    time::sleep(ADAPTER_LOAD_TIME).await;
                    return true;
                }
                OrderReply::AlreadyHolds => return true,
                OrderReply::Conflict => {}
                OrderReply::Fenced | OrderReply::Refused | OrderReply::Unknown | OrderReply::NotSent => return false,
            }
        }
        false
    }
}
