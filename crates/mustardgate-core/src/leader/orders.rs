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

/// Open orders by identifier. An order leaves only when its engine reports it settled, or refuses its number for good.
#[derive(Debug, Default)]
pub(super) struct OpenOrders {
    orders: BTreeMap<OrderId, OrderState>,
}

impl OpenOrders {
    /// Adds an order that was never sent; one that must be in the log first may be sent only once it is read back.
    pub(super) fn add(&mut self, intent: OrderIntent, is_logged: bool) {
        let state = OrderState {
            may_send: !is_logged,
            is_logged,
            retry_at: None,
            intent,
        };
        self.orders.insert(state.intent.order.clone(), state);
    }

    /// Adds an order that log order left open, whoever was to send it.
    pub(super) fn inherit(&mut self, intent: &OrderIntent) {
        self.add(intent.clone(), true);
        self.confirm(&intent.order);
    }

    /// Notes that the intent of an order stands in the log.
    pub(super) fn confirm(&mut self, order: &OrderId) {
        if let Some(state) = self.orders.get_mut(order) {
            state.may_send = true;
        }
    }

    /// Removes an order that its engine reports as settled; returns whether the log should hear of it.
    pub(super) fn settle(&mut self, backend: &BackendId, order: &OrderId) -> bool {
        let is_open = self
            .orders
            .get(order)
            .is_some_and(|state| state.intent.backend == *backend);
        is_open && self.orders.remove(order).is_some_and(|state| state.is_logged)
    }

    /// Forgets every order to `backend`, which its engine will refuse from now on; returns those the log should hear of.
    pub(super) fn drop_fenced(&mut self, backend: &BackendId) -> Vec<OrderId> {
        let dead: Vec<OrderId> = self.of(backend).map(|intent| intent.order.clone()).collect();
        dead.into_iter().filter(|order| self.settle(backend, order)).collect()
    }

    /// Returns the open intents to one runner.
    pub(super) fn of<'a>(&'a self, backend: &'a BackendId) -> impl Iterator<Item = &'a OrderIntent> {
        let states = self.orders.values();
        states
            .map(|state| &state.intent)
            .filter(move |intent| intent.backend == *backend)
    }

    /// Returns the open intents that the log must keep.
    pub(super) fn logged(&self) -> Vec<OrderIntent> {
        let states = self.orders.values().filter(|state| state.is_logged);
        states.map(|state| state.intent.clone()).collect()
    }

    /// Returns how many loads of models and of adapters are open on runners that `is_counted` names.
    pub(super) fn loads(&self, is_counted: impl Fn(&BackendId) -> bool) -> (u32, u32) {
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

    /// Returns the orders to send now, those of runners that `is_led` names, and counts them as sent.
    pub(super) fn due(
        &mut self,
        now: Instant,
        retry_interval: Duration,
        is_led: impl Fn(&BackendId) -> bool,
    ) -> Vec<OrderIntent> {
        let mut due = Vec::new();
        for state in self.orders.values_mut() {
            let is_early = state.retry_at.is_some_and(|at| now < at);
            if state.may_send && !is_early && is_led(&state.intent.backend) {
                state.retry_at = Some(now + retry_interval);
                due.push(state.intent.clone());
            }
        }
        due
    }
}
