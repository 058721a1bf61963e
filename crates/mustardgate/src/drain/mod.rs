//! State of a planned stop: whether the node drains, its requests in flight, and the tokens that end them.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{sync::Notify, time};
use tokio_util::sync::CancellationToken;

/// Counts requests in flight and holds the state of a planned stop.
#[derive(Clone, Debug, Default)]
pub struct DrainController {
    state: Arc<DrainState>,
}

#[derive(Debug, Default)]
struct DrainState {
    is_draining: AtomicBool,
    in_flight: AtomicUsize,
    idle: Notify,
    closing: CancellationToken,
    aborting: CancellationToken,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    state: Arc<DrainState>,
}

impl DrainController {
    /// Begins a drain, from which on the node is not ready.
    pub fn begin(&self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether a drain has begun.
    pub fn is_draining(&self) -> bool {
        self.state.is_draining.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(&self) -> InFlightGuard {
        self.state.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            state: Arc::clone(&self.state),
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the token that closes the callers' listener.
    pub fn closing(&self) -> CancellationToken {
        self.state.closing.clone()
    }

    /// Returns the token that ends the requests still in flight, each with an error that holds its verdict.
    pub fn aborting(&self) -> CancellationToken {
        self.state.aborting.clone()
    }

    /// Waits until no request is in flight, for at most `limit`; returns whether that state was reached.
    pub async fn wait_idle(&self, limit: Duration) -> bool {
        time::timeout(limit, async {
            loop {
                let notified = self.state.idle.notified();
                if self.in_flight() == 0 {
                    return;
                }
                notified.await;
            }
        })
        .await
        .is_ok()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.state.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.state.idle.notify_waiters();
        }
    }
}
