//! Handlers for orders, fencing numbers, caches, roles and faults.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Request, StatusCode};
use mustardgate_core::ports::{EngineOrder, OrderError};
use mustardgate_protocol::engine::{FencedAnswer, KvExport, KvExportRequest, RaiseFencing, RoleChange};
use rand::Rng;

use super::{options::EngineFaults, server::EngineServer};
use crate::http::{HttpReply, json_reply, query_value, read_json, status_reply};

impl EngineServer {
    pub(super) fn raise_fencing(&self, request: &Request<Bytes>) -> HttpReply {
        let raise: RaiseFencing = match read_json(request) {
            Ok(raise) => raise,
            Err(error) => return error.reply(),
        };
        let now = Instant::now();
        let raised = self.lock().memory.raise_fencing(now, raise.fencing);
        match raised {
            Ok(()) => json_reply(StatusCode::OK, &self.report(now)),
            Err(error) => refusal_reply(error),
        }
    }

    pub(super) fn accept_order(self: &Arc<Self>, request: &Request<Bytes>) -> HttpReply {
        let order: EngineOrder = match read_json(request) {
            Ok(order) => order,
            Err(error) => return error.reply(),
        };
        let mut state = self.lock();
        let EngineFaults {
            dropped_order_ratio,
            late_order_ratio,
            late_order_ms,
            ..
        } = state.faults;
        if state.rng.random_bool(dropped_order_ratio) {
            return None;
        }
        if state.rng.random_bool(late_order_ratio) {
            drop(state);
            let engine = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(late_order_ms)).await;
                // The connection of the sender is closed by now, so a refusal cannot be reported.
                let _refusal = engine.lock().memory.accept_order(Instant::now(), &order);
            });
            return None;
        }
        match state.memory.accept_order(Instant::now(), &order) {
            Ok(()) => status_reply(StatusCode::ACCEPTED),
            Err(error) => refusal_reply(error),
        }
    }

    pub(super) fn cache_events(&self, request: &Request<Bytes>) -> HttpReply {
        let after = query_value(request, "after").unwrap_or(0);
        json_reply(StatusCode::OK, &self.lock().prefix.events_after(Instant::now(), after))
    }

    pub(super) fn change_role(&self, request: &Request<Bytes>) -> HttpReply {
        let change: RoleChange = match read_json(request) {
            Ok(change) => change,
            Err(error) => return error.reply(),
        };
        self.lock().role = change.role;
        status_reply(StatusCode::NO_CONTENT)
    }

    pub(super) fn export_cache(&self, request: &Request<Bytes>) -> HttpReply {
        let export_request: KvExportRequest = match read_json(request) {
            Ok(export_request) => export_request,
            Err(error) => return error.reply(),
        };
        match self.lock().exports.get(&export_request.request) {
            Some(export) => json_reply(StatusCode::OK, export),
            None => status_reply(StatusCode::NOT_FOUND),
        }
    }

    pub(super) fn import_cache(&self, request: &Request<Bytes>) -> HttpReply {
        let export: KvExport = match read_json(request) {
            Ok(export) => export,
            Err(error) => return error.reply(),
        };
        let mut state = self.lock();
        if !state.memory.is_ready(&export.artifact) {
            return status_reply(StatusCode::CONFLICT);
        }
        let super::server::ServerState { prefix, rng, .. } = &mut *state;
        prefix.store(Instant::now(), &export.blocks, rng);
        status_reply(StatusCode::NO_CONTENT)
    }

    pub(super) fn set_faults(&self, request: &Request<Bytes>) -> HttpReply {
        let faults: EngineFaults = match read_json(request) {
            Ok(faults) => faults,
            Err(error) => return error.reply(),
        };
        self.lock().faults = faults;
        status_reply(StatusCode::NO_CONTENT)
    }
}

fn refusal_reply(error: OrderError) -> HttpReply {
    match error {
        OrderError::Fenced { newest } => json_reply(StatusCode::CONFLICT, &FencedAnswer { newest }),
        OrderError::Refused | OrderError::Unknown => status_reply(StatusCode::UNPROCESSABLE_ENTITY),
    }
}
