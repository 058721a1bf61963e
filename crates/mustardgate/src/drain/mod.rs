//! State of a planned stop: whether the node drains, its requests in flight, and the tokens that end them.

use std::{
    future,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use mustardgate_core::{
    clock,
    drain::{DrainTiming, DrainWindow},
};
use tokio::{
    sync::{Notify, watch},
    time,
};
use tokio_util::sync::CancellationToken;

/// Counts requests in flight and holds the state of a planned stop.
#[derive(Clone, Debug, Default)]
pub struct DrainController {
    state: Arc<DrainState>,
}

#[derive(Debug, Default)]
struct DrainState {
    is_draining: AtomicBool,
    window: watch::Sender<Option<DrainWindow>>,
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
    /// Begins a drain whose time is limited: from now on each request is asked whether enough of it is left.
    pub fn begin_window(&self, timing: DrainTiming) {
        self.state
            .window
            .send_replace(Some(DrainWindow::new(clock::now(), timing)));
        self.begin();
    }

    /// Ends a drain: no request is passed on any more, and those in flight are ended, each with its verdict.
    pub fn end_window(&self) {
        self.state.window.send_if_modified(|window| {
            let Some(window) = window else { return false };
            window.cut_short(clock::now());
            true
        });
        self.state.closing.cancel();
        self.state.aborting.cancel();
    }

    /// Checks that enough of the drain is left to pass on a request that needs `answer_time`.
    ///
    /// # Errors
    /// The time after which the caller may come back.
    pub fn check_time_left(&self, answer_time: Duration) -> Result<(), Duration> {
        let Some(window) = *self.state.window.borrow() else {
            return Ok(());
        };
        let now = clock::now();
        if window.admits(now, answer_time) {
            Ok(())
        } else {
            Err(window.retry_after(now))
        }
    }

    /// Waits until too little of a drain is left to pass on a request that needs `answer_time`; returns the time after
    /// which the caller may come back.
    pub async fn too_late(&self, answer_time: Duration) -> Duration {
        let mut window = self.state.window.subscribe();
        loop {
            let refused_from = window
                .borrow_and_update()
                .map(|window| window.refused_from(answer_time));
            if let Err(retry_after) = self.check_time_left(answer_time) {
                return retry_after;
            }
            wait_change(&mut window, refused_from).await;
        }
    }

    /// Waits until the time of a drain has passed.
    pub async fn wait_end(&self) {
        let mut window = self.state.window.subscribe();
        loop {
            let ends_at = window.borrow_and_update().map(|window| window.ends_at());
            if ends_at.is_some_and(|ends_at| clock::now() >= ends_at) {
                return;
            }
            wait_change(&mut window, ends_at).await;
        }
    }

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

    /// Returns the outcome of a step of a request, or `None` if the requests still in flight are ended before. A step that is
    /// complete counts first.
    pub async fn unless_aborted<F: Future>(&self, step: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = step => Some(output),
            () = self.state.aborting.cancelled() => None,
        }
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

/// Waits until `time`, if there is one, or until the window changes.
async fn wait_change(window: &mut watch::Receiver<Option<DrainWindow>>, time: Option<Instant>) {
    let reached = async {
        match time {
            Some(time) => time::sleep_until(time.into()).await,
            None => future::pending().await,
        }
    };
    tokio::select! {
        () = reached => {}
        // The sender lives as long as the controller that waits.
        _ = window.changed() => {}
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.state.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.state.idle.notify_waiters();
        }
    }
}
