//! Idle connections to one runner.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use metrics::counter;
use mustardgate_core::clock;

use super::{RunnerConnection, SendFailure, connect_runner};

/// Settings of [`ConnectionPool`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Idle connections kept.
    pub max_idle: usize,
    /// Idle time after which a connection is not used again, when the runner states none.
    pub idle_limit: Duration,
    /// Time for a new connection.
    pub connect_timeout: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            max_idle: 64,
            idle_limit: Duration::from_secs(4),
            connect_timeout: Duration::from_millis(400),
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: RunnerConnection,
    usable_until: Instant,
}

/// Keeps idle connections to one runner; the one used last is taken first, so that spare ones age and are closed.
#[derive(Debug)]
pub struct ConnectionPool {
    settings: PoolSettings,
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(settings: PoolSettings, address: SocketAddr) -> Self {
        Self {
            settings,
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns an idle connection, or makes one.
    ///
    /// # Errors
    /// [`SendFailure::NotConnected`] when no connection is made in time.
    pub async fn take(&self, timeout: Duration) -> Result<RunnerConnection, SendFailure> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        counter!("mustardgate_runner_connections_total").increment(1);
        connect_runner(self.address, self.settings.connect_timeout.min(timeout)).await
    }

    /// Takes back a connection whose answer was received whole.
    ///
    /// `stated_idle` is the time for which the runner keeps an idle connection, if it says so; half of it is used.
    pub fn give_back(&self, connection: RunnerConnection, stated_idle: Option<Duration>) {
        let limit = stated_idle.map_or(self.settings.idle_limit, |stated| {
            (stated / 2).min(self.settings.idle_limit)
        });
        let mut idle = self.lock();
        if idle.len() < self.settings.max_idle {
            idle.push(IdleConnection {
                connection,
                usable_until: clock::now() + limit,
            });
        }
    }

    /// Closes idle connections that are not to be used again.
    pub fn close_expired(&self) {
        let now = clock::now();
        self.lock()
            .retain(|idle| idle.connection.is_ready() && now < idle.usable_until);
    }

    fn take_idle(&self) -> Option<RunnerConnection> {
        let now = clock::now();
        let mut idle = self.lock();
        while let Some(newest) = idle.pop() {
            if newest.connection.is_ready() && now < newest.usable_until {
                return Some(newest.connection);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().expect("no holder of the lock panics")
    }
}
