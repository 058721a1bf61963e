//! Routes, services and limits in force, and route matching.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use smol_str::SmolStr;

use super::RelayTenant;
use crate::ids::{ModelId, ServiceId};

/// Whether a request may be sent to a second runner when a first one may have started it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RepeatPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The answer is a stream of events that another runner may continue after the last event delivered.
    Resumable,
}

impl RepeatPolicy {
    /// Returns whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// One service of a route, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedTarget {
    /// Service that answers the requests.
    pub service: ServiceId,
    /// Share relative to the other targets.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRoute {
    /// Name of the route.
    pub name: SmolStr,
    /// Host name that callers use, in lower case.
    pub host: SmolStr,
    /// Prefix of the path; it begins and ends with a slash.
    pub path_prefix: SmolStr,
    /// Whether a request may run more than once.
    pub repeat: RepeatPolicy,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Longest time from receiving a request to its complete answer.
    pub timeout: Duration,
    /// Target for the time to the answer, or to the first event of a stream; a later answer is worth less.
    pub target_latency: Duration,
    /// Longest time without an event of a stream that its caller accepts, if stated.
    pub longest_pause: Option<Duration>,
    /// Time without an event after which its caller abandons a stream, and does not take it up any more.
    pub abandon_time: Duration,
    /// Priority, 0 being the most urgent.
    pub priority: u32,
    /// Services with their shares; never empty.
    pub targets: Vec<WeightedTarget>,
    /// Largest number of runners to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no API key where tenants are declared.
    pub allow_anonymous: bool,
}

/// Attempts for which a caller may have waited when it takes a stream up, each for the route's timeout.
const ATTEMPTS_PER_STREAM: u32 = 2;

impl RelayRoute {
    /// Returns the longest time from the last listing of the runner that serves a stream until its caller takes the stream up:
    /// requests reach the runner for `drain_time` after it left the list.
    ///
    /// The caller's own deadline is known to nobody else, so the time without an event bounds it.
    pub fn stream_life(&self, drain_time: Duration) -> Duration {
        let attempts = self.timeout.saturating_mul(ATTEMPTS_PER_STREAM);
        let last_attempt = drain_time.saturating_add(self.timeout);
        attempts.max(last_attempt.saturating_add(self.abandon_time))
    }

    /// Returns the service for a random number from 0 up to the sum of the weights.
    pub fn service_for(&self, draw: u32) -> &ServiceId {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut remaining = u64::from(draw) % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return &target.service;
            }
            remaining -= weight;
        }
        &self.targets[0].service
    }
}

/// Largest target latency of a route with the first rank of its priority.
const URGENT_TARGET: Duration = Duration::from_secs(1);
/// Target latency above which a route is latency-tolerant and has the last rank of its priority.
const TOLERANT_TARGET: Duration = Duration::from_secs(3);
/// Number of ranks that a runner's queue distinguishes.
const RANKS: u32 = 10;
/// Number of ranks within each priority.
const RANKS_PER_PRIORITY: u32 = 3;

/// Returns the priority of a request, 0 being the most urgent: the tenant's, or else the route's.
pub fn request_priority(route: &RelayRoute, tenant: Option<&RelayTenant>) -> u32 {
    tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
}

/// Returns the rank of a request in a runner's own queue, 0 being the most urgent.
///
/// The priority set by the operators comes first. Within one priority, routes with longer target latencies yield to
/// routes with shorter ones, so that a burst of batch requests does not delay urgent requests.
pub fn runner_rank(route: &RelayRoute, tenant: Option<&RelayTenant>) -> u8 {
    let tolerance = u32::from(route.target_latency > URGENT_TARGET) + u32::from(route.target_latency > TOLERANT_TARGET);
    let rank = request_priority(route, tenant)
        .saturating_mul(RANKS_PER_PRIORITY)
        .saturating_add(tolerance);
    rank.min(RANKS - 1) as u8
}

/// A model that the runners of a service may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Memory that the weights take, in megabytes.
    pub weights_mb: f64,
    /// Duration of a load from the weight store.
    pub load_time: Duration,
    /// Duration of a load from the runner's own cached copy.
    pub cached_load_time: Duration,
    /// Memory that one adapter takes, in megabytes.
    pub adapter_mb: f64,
    /// Number of adapters declared for the model.
    pub adapters: u32,
}

/// Properties shared by the runners of a service with model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Largest number of requests in one batch.
    pub slots: u32,
    /// Capacity of a runner's KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Memory of a runner for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Largest number of adapters on a runner.
    pub adapter_slots: u32,
    /// Loads from the weight store that may start per second, over all runners.
    pub loads_per_s: f64,
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelProfile>,
}

/// A service that routes lead to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayService {
    /// Largest number of connections that a runner accepts from all callers together; 0 for no limit.
    pub max_connections: u32,
    /// Engine of the runners; `None` for a service without model engines.
    pub engine: Option<EngineProfile>,
}

/// Limits on the size and timing of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to receive a head.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayConfig {
    /// Version, which never decreases.
    pub version: u64,
    /// Every route.
    pub routes: Vec<Arc<RelayRoute>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, RelayService>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Tenants, whose API keys requests need; `None` if the configuration declares none and requests need no key.
    pub tenants: Option<Vec<Arc<RelayTenant>>>,
}

/// Routes of one configuration version, indexed by host.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: BTreeMap<SmolStr, Vec<Arc<RelayRoute>>>,
}

impl RouteTable {
    /// Creates a table of the routes, longer prefixes first.
    pub fn new(routes: &[Arc<RelayRoute>]) -> Self {
        let mut by_host: BTreeMap<SmolStr, Vec<Arc<RelayRoute>>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::clone(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route of a host with the longest prefix that matches the path.
    ///
    /// A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RelayRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }
}
