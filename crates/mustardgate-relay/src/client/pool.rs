//! Idle connections to one runner.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use metrics::counter;
use mustardgate_core::clock;

use super::{
    RunnerConnection, SendFailure, connect_runner,
    connection::{ConnectionLife, ConnectionRoute, ProbeFailure, probe_runner},
    target::PeerKind,
};

/// Settings of [`ConnectionPool`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Largest number of idle connections.
    pub max_idle: usize,
    /// Longest idle time after which a connection is reused; shorter if the runner's own limit is short.
    pub idle_limit: Duration,
    /// Longest time to establish a connection.
    pub connect_timeout: Duration,
    /// Address of this machine from which connections are established; the operating system's choice without one.
    pub source: Option<IpAddr>,
    /// What listens at the address.
    pub peer: PeerKind,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            max_idle: 64,
            idle_limit: Duration::from_secs(4),
            connect_timeout: Duration::from_millis(400),
            source: None,
            peer: PeerKind::Runner,
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: RunnerConnection,
    usable_until: Instant,
}

/// Keeps idle connections to one runner; the most recently used is taken first, so that surplus ones expire.
#[derive(Debug)]
pub struct ConnectionPool {
    settings: PoolSettings,
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    /// Whether a connection broke since the last confirmation of the process.
    has_lost: AtomicBool,
    /// Connections, idle or in use, that certainly lead to the listed process.
    confirmed: Mutex<Vec<Weak<ConnectionLife>>>,
}

/// A connection to a runner.
#[derive(Debug)]
pub struct TakenConnection {
    /// The connection.
    pub connection: RunnerConnection,
    /// Whether it was established for this request.
    pub is_new: bool,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(settings: PoolSettings, address: SocketAddr) -> Self {
        Self {
            settings,
            address,
            idle: Mutex::new(Vec::new()),
            has_lost: AtomicBool::new(false),
            confirmed: Mutex::default(),
        }
    }

    /// Returns an idle connection, or establishes one.
    ///
    /// # Errors
    /// [`SendFailure::NotConnected`] when no connection is established in time.
    pub async fn take(&self, timeout: Duration) -> Result<TakenConnection, SendFailure> {
        if let Some(connection) = self.take_idle() {
            return Ok(TakenConnection {
                connection,
                is_new: false,
            });
        }
        Ok(TakenConnection {
            connection: self.connect(timeout).await?,
            is_new: true,
        })
    }

    /// Establishes a connection.
    ///
    /// # Errors
    /// [`SendFailure::NotConnected`] when no connection is established in time.
    pub async fn connect(&self, timeout: Duration) -> Result<RunnerConnection, SendFailure> {
        counter!("mustardgate_runner_connections_total").increment(1);
        connect_runner(self.route(), self.settings.connect_timeout.min(timeout)).await
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.lock().clear();
    }

    /// Records that a connection broke, after which another process may answer at the address.
    pub fn record_loss(&self) {
        self.has_lost.store(true, Ordering::Relaxed);
    }

    /// Records that a connection was asked for its process, which is the listed one.
    pub fn record_confirmation(&self, connection: &mut RunnerConnection) {
        self.has_lost.store(false, Ordering::Relaxed);
        self.confirm(connection);
    }

    /// Records that a connection leads to the listed process.
    pub fn confirm(&self, connection: &mut RunnerConnection) {
        let life = Arc::downgrade(connection.confirm());
        let mut confirmed = self.lock_confirmed();
        confirmed.retain(is_open);
        confirmed.push(life);
    }

    /// Returns whether a connection that leads to the listed process is open, idle or in use.
    pub fn has_confirmed_connection(&self) -> bool {
        self.lock_confirmed().iter().any(is_open)
    }

    /// Returns whether a connection broke since the process at the address was confirmed.
    pub fn has_lost(&self) -> bool {
        self.has_lost.load(Ordering::Relaxed)
    }

    /// Connects once, and returns whether nothing listens at the address; a connection that is made joins the pool.
    pub async fn is_refused(&self, timeout: Duration) -> bool {
        match probe_runner(self.route(), timeout).await {
            Ok(connection) => {
                self.give_back(connection, None);
                false
            }
            Err(failure) => failure == ProbeFailure::Refused,
        }
    }

    /// Returns a connection to the pool after its answer was received completely.
    ///
    /// `keep_alive_timeout` is how long the runner keeps an idle connection, if stated; the connection is reused within
    /// half of it, and at most within `idle_limit`.
    pub fn give_back(&self, connection: RunnerConnection, keep_alive_timeout: Option<Duration>) {
        let limit = keep_alive_timeout.map_or(self.settings.idle_limit, |timeout| {
            (timeout / 2).min(self.settings.idle_limit)
        });
        let mut idle = self.lock();
        if idle.len() < self.settings.max_idle {
            idle.push(IdleConnection {
                connection,
                usable_until: clock::now() + limit,
            });
        }
    }

    /// Closes idle connections that were closed by the runner or have expired.
    pub fn close_expired(&self) {
        let now = clock::now();
        self.lock().retain(|idle| {
            let is_ready = idle.connection.is_ready();
            if !is_ready {
                self.record_loss();
            }
            is_ready && now < idle.usable_until
        });
    }

    fn route(&self) -> ConnectionRoute {
        ConnectionRoute {
            address: self.address,
            source: self.settings.source,
            peer: self.settings.peer,
        }
    }

    fn take_idle(&self) -> Option<RunnerConnection> {
        let now = clock::now();
        let mut idle = self.lock();
        while let Some(newest) = idle.pop() {
            if !newest.connection.is_ready() {
                self.record_loss();
            } else if now < newest.usable_until {
                return Some(newest.connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().expect("no holder of the lock panics")
    }

    fn lock_confirmed(&self) -> MutexGuard<'_, Vec<Weak<ConnectionLife>>> {
        self.confirmed.lock().expect("no holder of the lock panics")
    }
}

/// Returns whether a connection exists and its peer has not closed it.
fn is_open(life: &Weak<ConnectionLife>) -> bool {
    life.upgrade().is_some_and(|life| life.is_open())
}
