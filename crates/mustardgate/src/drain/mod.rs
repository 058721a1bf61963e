//! Readiness and the course of a planned stop.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{sync::Notify, time};
use tokio_util::sync::CancellationToken;

/// Tracks requests in flight and the phase of a planned stop.
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
    cutting: CancellationToken,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct FlightGuard {
    state: Arc<DrainState>,
}

impl DrainController {
    /// Begins a drain: the node is not ready from now on.
    pub fn begin(&self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether a drain began.
    pub fn is_draining(&self) -> bool {
        self.state.is_draining.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(&self) -> FlightGuard {
        self.state.in_flight.fetch_add(1, Ordering::SeqCst);
        FlightGuard {
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

    /// Returns the token that ends requests still in flight with their verdicts.
    pub fn cutting(&self) -> CancellationToken {
        self.state.cutting.clone()
    }

    /// Waits until no request is in flight, for at most `limit`; returns whether that was reached.
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

impl Drop for FlightGuard {
    fn drop(&mut self) {
        if self.state.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.state.idle.notify_waiters();
        }
    }
}
