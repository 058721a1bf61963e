//! The orders of a failure domain whose outcome is not yet known.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    ids::{BackendId, OrderId},
    log::{OrderAction, OrderIntent},
};

#[derive(Debug)]
struct OrderState {
    intent: OrderIntent,
    is_logged: bool,
    may_send: bool,
    retry_at: Option<Instant>,
}

/// Open orders by identifier. An order is removed only when its engine reports it settled or permanently refuses its
/// fencing number.
#[derive(Debug, Default)]
pub(super) struct OpenOrders {
    orders: BTreeMap<OrderId, OrderState>,
}

impl OpenOrders {
    /// Adds an order that was never sent; a logged one may be sent only after its intent was read back from the log.
    pub(super) fn add(&mut self, intent: OrderIntent, is_logged: bool) {
        let state = OrderState {
            may_send: !is_logged,
            is_logged,
            retry_at: None,
            intent,
        };
        self.orders.insert(state.intent.order.clone(), state);
    }

    /// Adds an order that the log shows as open, whichever leader was to send it.
    pub(super) fn inherit(&mut self, intent: &OrderIntent) {
        self.add(intent.clone(), true);
        self.confirm(&intent.order);
    }

    /// Allows an order to be sent, because its intent is in the log.
    pub(super) fn confirm(&mut self, order: &OrderId) {
        if let Some(state) = self.orders.get_mut(order) {
            state.may_send = true;
        }
    }

    /// Removes an order that its engine reports as settled; returns whether the settlement must be logged.
    pub(super) fn settle(&mut self, backend: &BackendId, order: &OrderId) -> bool {
        let is_open = self
            .orders
            .get(order)
            .is_some_and(|state| state.intent.backend == *backend);
        is_open && self.orders.remove(order).is_some_and(|state| state.is_logged)
    }

    /// Removes every order to `backend`, whose engine refuses them from now on; returns those to be logged as settled.
    pub(super) fn drop_fenced(&mut self, backend: &BackendId) -> Vec<OrderId> {
        let fenced: Vec<OrderId> = self.for_backend(backend).map(|intent| intent.order.clone()).collect();
        fenced.into_iter().filter(|order| self.settle(backend, order)).collect()
    }

    /// Returns the open intents to one runner.
    pub(super) fn for_backend<'a>(&'a self, backend: &'a BackendId) -> impl Iterator<Item = &'a OrderIntent> {
        let states = self.orders.values();
        states
            .map(|state| &state.intent)
            .filter(move |intent| intent.backend == *backend)
    }

    /// Returns the open intents that are kept in the log.
    pub(super) fn logged(&self) -> Vec<OrderIntent> {
        let states = self.orders.values().filter(|state| state.is_logged);
        states.map(|state| state.intent.clone()).collect()
    }

    /// Returns how many loads of models and of adapters are open on runners for which `is_counted` holds.
    pub(super) fn open_loads(&self, is_counted: impl Fn(&BackendId) -> bool) -> (u32, u32) {
        let mut loads = (0, 0);
        for intent in self.orders.values().map(|state| &state.intent) {
            match &intent.action {
                OrderAction::Load { artifact, .. } if is_counted(&intent.backend) => {
                    let count = if artifact.adapter.is_some() {
                        &mut loads.1
                    } else {
                        &mut loads.0
                    };
                    *count += 1;
                }
                _ => {}
            }
        }
        loads
    }

    /// Returns the orders to send now to runners for which `is_state_known` holds, and schedules their next attempts.
    pub(super) fn take_due(
        &mut self,
        now: Instant,
        retry_interval: Duration,
        is_state_known: impl Fn(&BackendId) -> bool,
    ) -> Vec<OrderIntent> {
        let mut due = Vec::new();
        for state in self.orders.values_mut() {
            let is_early = state.retry_at.is_some_and(|at| now < at);
            if state.may_send && !is_early && is_state_known(&state.intent.backend) {
                state.retry_at = Some(now + retry_interval);
                due.push(state.intent.clone());
            }
        }
        due
    }
}
