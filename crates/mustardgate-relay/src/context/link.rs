//! Whether this node reaches the runners over its own connections, shared between its tasks.

use std::sync::{Mutex, MutexGuard};

use mustardgate::events;
use mustardgate_core::{clock, ids::BackendId, relay::LinkMonitor};
use rand::Rng;
use slog::{Logger, o};
use tokio::sync::{Notify, watch};

/// Holds the state of the link to the runners.
#[derive(Debug)]
pub struct RunnerLink {
    monitor: Mutex<LinkMonitor>,
    is_cut: watch::Sender<bool>,
    suspected: Notify,
    logger: Logger,
}

/// An answer that is awaited over an own connection, until it is dropped.
#[derive(Debug)]
pub struct AwaitedAnswer<'a>(&'a RunnerLink);

impl Drop for AwaitedAnswer<'_> {
    fn drop(&mut self) {
        self.0.lock().end_wait();
    }
}

impl RunnerLink {
    /// Creates the state of a link that is believed to be sound.
    pub fn new(logger: Logger) -> Self {
        Self {
            monitor: Mutex::default(),
            is_cut: watch::Sender::new(false),
            suspected: Notify::new(),
            logger,
        }
    }

    /// Records that an answer is awaited from a runner over an own connection.
    pub fn await_answer(&self) -> AwaitedAnswer<'_> {
        self.lock().begin_wait(clock::now());
        AwaitedAnswer(self)
    }

    /// Records bytes from a runner over an own connection.
    pub fn record_contact(&self, is_new_connection: bool) {
        self.lock().record_contact(clock::now(), is_new_connection);
    }

    /// Records that an own connection to a runner failed.
    pub fn record_failure(&self, runner: &BackendId) {
        let mut monitor = self.lock();
        monitor.record_failure(clock::now(), runner);
        if monitor.needs_check(clock::now()) {
            self.suspected.notify_one();
        }
    }

    /// Completes when the link should be checked at once.
    pub async fn next_suspicion(&self) {
        self.suspected.notified().await;
    }

    /// Returns whether the link should be checked.
    pub fn needs_check(&self) -> bool {
        self.lock().needs_check(clock::now())
    }

    /// Returns the runners to which connections failed lately.
    pub fn failed_runners(&self) -> Vec<BackendId> {
        self.lock().failed_runners().cloned().collect()
    }

    /// Records how many of the runners that were asked have answered; returns whether the link is cut by that.
    pub fn record_check(&self, asked: usize, answered: usize) -> bool {
        let becomes_cut = self.lock().record_check(clock::now(), asked, answered);
        if becomes_cut {
            events::RELAY_LINK_CUT.write(&self.logger, o!("asked" => asked));
            self.is_cut.send_replace(true);
        }
        becomes_cut
    }

    /// Records whether a runner answered while the link is cut.
    pub fn record_probe(&self, is_answered: bool) {
        if self.lock().record_probe(clock::now(), is_answered) {
            events::RELAY_LINK_RESTORED.write(&self.logger, o!());
            self.is_cut.send_replace(false);
        }
    }

    /// Returns whether the link is cut.
    pub fn is_cut(&self) -> bool {
        *self.is_cut.borrow()
    }

    /// Returns whether a request should go through another node.
    pub fn uses_neighbours(&self) -> bool {
        let draw = rand::rng().random();
        self.lock().uses_neighbours(clock::now(), draw)
    }

    /// Completes when the link is cut.
    pub async fn next_cut(&self) {
        let mut is_cut = self.is_cut.subscribe();
        let waited = is_cut.wait_for(|is_cut| *is_cut).await;
        debug_assert!(waited.is_ok(), "the sender lives as long as this link");
    }

    fn lock(&self) -> MutexGuard<'_, LinkMonitor> {
        self.monitor.lock().expect("no holder of the lock panics")
    }
}
