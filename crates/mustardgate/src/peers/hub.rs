//! The connections to other nodes, opened on first use.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use mustardgate_core::{clock, ports::VmEntry};
use mustardgate_protocol::peers::{CallError, PeerClient, PeerError, PeerKey, PeerMeter};
use slog::{Logger, o};
use tokio::sync::Mutex as AsyncMutex;

use crate::events;

/// Delay before the first retry after a failed connection.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest delay before a retry after a failed connection.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// The connections to other nodes, by address.
///
/// All calls to an address share one connection, which is dropped when one of them gets no answer, because the
/// connection to a node that was cut off may stay open although nothing arrives on it any more.
#[derive(Debug)]
pub struct PeerHub {
    key: PeerKey,
    meter: Arc<dyn PeerMeter>,
    logger: Logger,
    links: Mutex<BTreeMap<SocketAddr, Arc<AsyncMutex<PeerLink>>>>,
}

#[derive(Debug)]
struct PeerLink {
    client: Option<PeerClient>,
    /// Number of connections made, by which a call detects that its connection was replaced meanwhile.
    generation: u64,
    retry_at: Option<Instant>,
    retry_delay: Duration,
}

impl Default for PeerLink {
    fn default() -> Self {
        Self {
            client: None,
            generation: 0,
            retry_at: None,
            retry_delay: FIRST_RETRY_DELAY,
        }
    }
}

impl PeerLink {
    fn on_connected(&mut self, client: PeerClient) {
        self.client = Some(client);
        self.generation += 1;
    }

    fn on_answered(&mut self) {
        self.retry_at = None;
        self.retry_delay = FIRST_RETRY_DELAY;
    }

    fn on_failed(&mut self) {
        self.client = None;
        self.retry_at = Some(clock::now() + self.retry_delay);
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

impl PeerHub {
    /// Creates a hub without connections.
    pub fn new(key: PeerKey, meter: Arc<dyn PeerMeter>, logger: Logger) -> Self {
        Self {
            key,
            meter,
            logger,
            links: Mutex::default(),
        }
    }

    /// Makes a call to the node at an address; returns its answer, or `None` when there was none.
    pub async fn call<T, F, C>(&self, address: SocketAddr, call: F) -> Option<T>
    where
        F: FnOnce(PeerClient) -> C,
        C: Future<Output = Result<T, CallError>>,
    {
        let link = self.link(address);
        let (client, generation) = self.connect(&link, address).await?;
        let answer = call(client).await;
        let mut link = link.lock().await;
        if link.generation == generation {
            match &answer {
                Ok(_) => link.on_answered(),
                Err(CallError) => link.on_failed(),
            }
        }
        answer.ok()
    }

    /// Spawns a separate task for the call to each target, so that a node that is cut off does not delay the others.
    pub fn spawn_calls<F, C>(self: &Arc<Self>, targets: Vec<VmEntry>, call: F)
    where
        F: FnOnce(PeerClient) -> C + Clone + Send + 'static,
        C: Future<Output = Result<(), CallError>> + Send + 'static,
    {
        for target in targets {
            let hub = Arc::clone(self);
            let call = call.clone();
            tokio::spawn(async move { hub.call(target.address, call).await });
        }
    }

    /// Drops the connections to all other addresses.
    pub fn retain(&self, addresses: &BTreeSet<SocketAddr>) {
        let mut links = self.links.lock().expect("no holder panics");
        links.retain(|address, _| addresses.contains(address));
    }

    /// Returns the key of the deployment.
    pub(super) fn key(&self) -> &PeerKey {
        &self.key
    }

    /// Returns the byte counter.
    pub(super) fn meter(&self) -> Arc<dyn PeerMeter> {
        Arc::clone(&self.meter)
    }

    fn link(&self, address: SocketAddr) -> Arc<AsyncMutex<PeerLink>> {
        let mut links = self.links.lock().expect("no holder panics");
        Arc::clone(links.entry(address).or_default())
    }

    async fn connect(&self, link: &AsyncMutex<PeerLink>, address: SocketAddr) -> Option<(PeerClient, u64)> {
        let mut link = link.lock().await;
        if let Some(client) = &link.client {
            return Some((client.clone(), link.generation));
        }
        if link.retry_at.is_some_and(|time| clock::now() < time) {
            return None;
        }
        match PeerClient::connect(address, &self.key, self.meter()).await {
            Ok(client) => {
                link.on_connected(client.clone());
                Some((client, link.generation))
            }
            Err(error) => {
                link.on_failed();
                self.log_connect_error(address, &error);
                None
            }
        }
    }

    fn log_connect_error(&self, address: SocketAddr, error: &PeerError) {
        if matches!(error, PeerError::WrongKey) {
            events::PEER_REFUSED.write(&self.logger, o!("peer" => address.to_string()));
        }
    }
}
